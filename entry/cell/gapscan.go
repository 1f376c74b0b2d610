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
	follow *follow

	mu sync.Mutex
	// wanted counts the gaps, closed those that were read.
	wanted, closed int
	running        bool
}

// isOpen reports whether something isn't read yet.
func (g *gapScan) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed < g.wanted
}

// open has everything read that was written before.
func (g *gapScan) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wanted++
	if !g.running {
		g.running = true
		go g.run()
	}
}

func (g *gapScan) run() {
	p := g.follow.pool
	for g.follow.ctx.Err() == nil {
		g.mu.Lock()
		closes := g.wanted
		g.mu.Unlock()
		ctx, cancel := context.WithTimeout(g.follow.ctx, loadTimeout)
		rows, err := p.cell.scanParts(ctx, p.name)
		cancel()
		p.tell(flow.WorkChanged{Rows: rows})
		if err != nil {
			p.cell.Log.Info("work isn't read yet that the feed has forgotten", "pool", string(p.name), "error", err.Error())
			p.cell.pause(followRetry)
			continue
		}
		if g.done(closes) {
			return
		}
	}
}

// done notes that so many gaps are read, and reports whether these are all.
func (g *gapScan) done(closes int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closes
	g.running = g.closed < g.wanted
	return !g.running
}

// skip goes on from the newest revision, and has read what lies before it.
func (f *follow) skip(ctx context.Context) {
	newest, err := f.pool.cell.Rows.Scan(ctx, elect.Table+"//", 0)
	if err != nil {
		f.pool.cell.pause(followRetry)
		return
	}
	f.after = newest.Revision
	f.gap.open()
}

// scanParts reads the work of all parts that answer, and returns the error of one that
// doesn't.
func (c *Cell) scanParts(ctx context.Context, pool endive.PoolName) ([]endive.Row, error) {
	var rows []endive.Row
	var failed error
	for _, one := range c.scanShards(ctx, pool) {
		if one.err != nil {
			failed = one.err
		}
		rows = append(rows, one.changes.Rows...)
	}
	return rows, failed
}
