package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// workPollWait is the maximum wait of one long poll for new work.
const workPollWait = endive.Interval(time.Second)

// loadTimeout is the timeout for reading all rows of a pool.
const loadTimeout = 5 * time.Second

// workFollower reads the rows of a pool during one tenure: all rows first, then the changes
// from the store's feed.
type workFollower struct {
	pool     *pool
	epoch    endive.Epoch
	ctx      context.Context
	cancel   context.CancelFunc
	revision endive.Revision
	// handedOver is the state that the previous holder sent, or nil.
	handedOver *flow.PoolSnapshot
	// gapScan reads the rows that are missing from the feed after the feed lost its history.
	gapScan *gapScan
}

// newFollower returns a follower for a tenure. It ignores a handed-over state that isn't from
// the tenure just before, since another entry held the pool in between.
func newFollower(p *pool, epoch endive.Epoch, handedOver *flow.PoolSnapshot) *workFollower {
	ctx, cancel := context.WithCancel(p.cell.ctx)
	if handedOver != nil && (handedOver.Epoch.NextTenure() != epoch || handedOver.Revision == 0) {
		handedOver = nil
	}
	f := &workFollower{pool: p, epoch: epoch, ctx: ctx, cancel: cancel, handedOver: handedOver}
	f.gapScan = &gapScan{follower: f}
	return f
}

func (f *workFollower) run() {
	go (&quotaFollower{pool: f.pool, ctx: f.ctx}).run()
	for f.ctx.Err() == nil {
		loaded, err := f.load()
		if err == nil {
			f.pool.sendToFlow(loaded)
			go f.newSweep().run()
			break
		}
		f.pool.cell.sleep(retryDelay)
	}
	for f.ctx.Err() == nil {
		f.followOnce()
	}
}

// load returns all rows of the pool, from the previous holder or from the store.
func (f *workFollower) load() (flow.PoolSnapshot, error) {
	if f.handedOver != nil {
		return f.loadHandedOver()
	}
	ctx, cancel := context.WithTimeout(f.ctx, loadTimeout)
	defer cancel()
	loader := newSnapshotLoader(f.pool)
	go loader.runWork(ctx)
	go loader.runStates(ctx)
	go loader.runRoster(ctx)
	go loader.runWorkers()
	loaded, err := loader.wait()
	if err != nil {
		return flow.PoolSnapshot{}, err
	}
	loaded.Epoch = f.epoch
	f.revision = loaded.Revision
	return loaded, nil
}

// followOnce does one long poll for new rows and passes them to the flow state machine.
func (f *workFollower) followOnce() {
	ctx := endive.WithStallTimeout(f.ctx, f.pool.cell.Settings.Timings.StoreTimeout)
	prefix := flow.WorkPrefix(f.pool.name)
	readAt := f.pool.cell.Clock.Now()
	changes, err := f.pool.cell.Store.Follow(ctx, prefix, f.revision, workPollWait)
	if f.ctx.Err() != nil {
		return
	}
	if endive.ErrHistoryLost.Has(err) {
		f.skipGap(ctx)
		return
	}
	if err != nil {
		f.pool.cell.sleep(retryDelay)
		return
	}
	f.revision = changes.Revision
	revision := changes.Revision
	if f.gapScan.hasOpenGaps() {
		// Rows from a gap in the feed's history may still be missing. Revision 0 reports
		// this to the flow state machine.
		revision = 0
	}
	if revision == 0 || changes.More {
		readAt = time.Time{}
	}
	f.pool.sendToFlow(flow.WorkChanged{Epoch: f.epoch, Rows: changes.Rows, Revision: revision, ReadAt: readAt})
}
