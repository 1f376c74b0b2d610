package cell

import (
	"context"
	"sync"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
)

// The store may forget the history of its feed. The load: it does so every few seconds,
// while a burst of work comes. New work is followed from now on at once, and what came in
// between is read beside it, which takes a scan of all parts.

// gapScan reads all work after the feed has forgotten a part of it. It is safe for
// concurrent use.
type gapScan struct {
	follower *workFollower

	mu sync.Mutex
	// opened counts the gaps, closed those that were read.
	opened, closed int
	running        bool
}

// hasOpenGaps reports whether something isn't read yet.
func (g *gapScan) hasOpenGaps() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed < g.opened
}

// openGap has everything read that was written before.
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
		p.sendToFlow(flow.WorkChanged{Rows: rows})
		if err != nil {
			p.cell.Log.Info("work isn't read yet that the feed has forgotten", "pool", string(p.name), "error", err.Error())
			p.cell.sleep(retryDelay)
			continue
		}
		if g.markClosed(gaps) {
			return
		}
	}
}

// markClosed notes that so many gaps are read, and reports whether these are all.
func (g *gapScan) markClosed(gaps int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = gaps
	g.running = g.closed < g.opened
	return !g.running
}

// skipGap goes on from the newest revision, and has read what lies before it.
func (f *workFollower) skipGap(ctx context.Context) {
	newest, err := f.pool.cell.Store.Scan(ctx, elect.Table+"//", 0)
	if err != nil {
		f.pool.cell.sleep(retryDelay)
		return
	}
	f.revision = newest.Revision
	f.gapScan.openGap()
}

// scanAvailableShards reads the work of all parts that answer, and returns the error of one that
// doesn't.
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
