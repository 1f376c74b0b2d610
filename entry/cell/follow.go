package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// followWait is how long a question for new work may wait.
const followWait = endive.Interval(time.Second)

// loadTimeout bounds the reading of all rows of a pool.
const loadTimeout = 5 * time.Second

// follow reads the rows of a pool for one tenure: all of them, and then the new
// ones.
type follow struct {
	pool   *pool
	epoch  endive.Epoch
	ctx    context.Context
	cancel context.CancelFunc
	after  endive.Revision
	// given is what the last holder gave; nil if there is nothing.
	given *flow.PoolSnapshot
	// gap reads what the feed has forgotten.
	gap *gapScan
}

// newFollow returns what reads for a tenure. What the last holder gave counts if nobody
// held the pool in between.
func newFollow(p *pool, epoch endive.Epoch, given *flow.PoolSnapshot) *follow {
	ctx, cancel := context.WithCancel(p.cell.ctx)
	if given != nil && (given.Epoch+1 != epoch || given.Revision == 0) {
		given = nil
	}
	f := &follow{pool: p, epoch: epoch, ctx: ctx, cancel: cancel, given: given}
	f.gap = &gapScan{follow: f}
	return f
}

func (f *follow) run() {
	for f.ctx.Err() == nil {
		loaded, err := f.load()
		if err == nil {
			f.pool.tell(loaded)
			go f.sweep().run()
			break
		}
		f.pool.cell.pause(followRetry)
	}
	for f.ctx.Err() == nil {
		f.next()
	}
}

// load reads all rows of the pool.
func (f *follow) load() (flow.PoolSnapshot, error) {
	if f.given != nil {
		return f.loadGiven()
	}
	ctx, cancel := context.WithTimeout(f.ctx, loadTimeout)
	defer cancel()
	reading := newLoading(f.pool)
	go reading.runWork(ctx)
	go reading.runStates(ctx)
	go reading.runRoster(ctx)
	go reading.runWorkers()
	loaded, err := reading.wait()
	if err != nil {
		return flow.PoolSnapshot{}, err
	}
	loaded.Epoch = f.epoch
	f.after = loaded.Revision
	return loaded, nil
}

// next waits for new rows.
func (f *follow) next() {
	wait := time.Duration(followWait) + time.Duration(f.pool.cell.Settings.Timings.StoreTimeout)
	ctx, cancel := context.WithTimeout(f.ctx, wait)
	defer cancel()
	prefix := flow.WorkPrefix(f.pool.name)
	changes, err := f.pool.cell.Rows.Follow(ctx, prefix, f.after, followWait)
	if f.ctx.Err() != nil {
		return
	}
	if endive.ErrHistoryLost.Has(err) {
		f.skip(ctx)
		return
	}
	if err != nil {
		f.pool.cell.pause(followRetry)
		return
	}
	f.after = changes.Revision
	revision := changes.Revision
	if f.gap.isOpen() {
		// What the feed has forgotten may not be read yet.
		revision = 0
	}
	f.pool.tell(flow.WorkChanged{Rows: changes.Rows, Revision: revision})
}
