package cell

import (
	"context"
	"sync"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
)

// The store may drop the history of its change feed, for example every few seconds during a
// burst of submissions. The follower then continues at once from the newest
// revision, and a gapScan reads the rows written in between in parallel, which takes a scan
// of all partitions.

// gapScan reads all work rows of a pool after the change feed has lost a part of its history.
// It is safe for concurrent use.
type gapScan struct {
	follower *workFollower

	mu sync.Mutex
	// opened counts the gaps found. closed counts the gaps whose rows have been read.
	opened, closed int
	running        bool
}

// hasOpenGaps reports whether the rows of a gap haven't been read yet.
func (g *gapScan) hasOpenGaps() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed < g.opened
}

// openGap records a gap, and starts a scan for the rows written before now if none runs.
func (g *gapScan) openGap() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened++
	if !g.running {
		g.running = true
		go g.run()
	}
}

func (g *gapScan) run() {
	p := g.follower.pool
	for g.follower.ctx.Err() == nil {
		g.mu.Lock()
		gaps := g.opened
		g.mu.Unlock()
		ctx, cancel := context.WithTimeout(g.follower.ctx, loadTimeout)
		rows, err := p.cell.scanAvailableShards(ctx, p.name)
		cancel()
		p.sendToFlow(flow.WorkChanged{Epoch: g.follower.epoch, Rows: rows})
		if err != nil {
			p.cell.Log.Info("can't read the work rows missing from the feed, will retry", "pool", string(p.name), "error", err.Error())
			p.cell.sleep(retryDelay)
			continue
		}
		if g.markClosed(gaps) {
			return
		}
	}
}

// markClosed sets the number of gaps read, and reports whether no gap is left.
func (g *gapScan) markClosed(gaps int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = gaps
	g.running = g.closed < g.opened
	return !g.running
}

// skipGap moves the follower to the newest revision and opens a gap for the changes before it.
func (f *workFollower) skipGap(ctx context.Context) {
	newest, err := f.pool.cell.Store.Scan(ctx, elect.Table+"//", 0)
	if err != nil {
		f.pool.cell.sleep(retryDelay)
		return
	}
	f.revision = newest.Revision
	f.gapScan.openGap()
}

// scanAvailableShards returns the work rows of all shards that could be read, and the error of
// one that couldn't, if any.
func (c *Cell) scanAvailableShards(ctx context.Context, pool endive.PoolName) ([]endive.Row, error) {
	var rows []endive.Row
	var lastErr error
	for _, result := range c.scanShards(ctx, pool) {
		if result.err != nil {
			lastErr = result.err
		}
		rows = append(rows, result.changes.Rows...)
	}
	return rows, lastErr
}
