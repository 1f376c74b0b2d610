package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// workPollWait is how long a question for new work may wait.
const workPollWait = endive.Interval(time.Second)

// loadTimeout bounds the reading of all rows of a pool.
const loadTimeout = 5 * time.Second

// workFollower reads the rows of a pool for one tenure: all of them, and then the new
// ones.
type workFollower struct {
	pool     *pool
	epoch    endive.Epoch
	ctx      context.Context
	cancel   context.CancelFunc
	revision endive.Revision
	// handedOver is what the last holder gave; nil if there is nothing.
	handedOver *flow.PoolSnapshot
	// gapScan reads what the feed has forgotten.
	gapScan *gapScan
}

// newFollower returns what reads for a tenure. What the last holder gave counts if nobody
// held the pool in between.
func newFollower(p *pool, epoch endive.Epoch, handedOver *flow.PoolSnapshot) *workFollower {
	ctx, cancel := context.WithCancel(p.cell.ctx)
	if handedOver != nil && (handedOver.Epoch+1 != epoch || handedOver.Revision == 0) {
		handedOver = nil
	}
	f := &workFollower{pool: p, epoch: epoch, ctx: ctx, cancel: cancel, handedOver: handedOver}
	f.gapScan = &gapScan{follower: f}
	return f
}

func (f *workFollower) run() {
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

// load reads all rows of the pool.
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

// followOnce waits for new rows.
func (f *workFollower) followOnce() {
	wait := time.Duration(workPollWait) + time.Duration(f.pool.cell.Settings.Timings.StoreTimeout)
	ctx, cancel := context.WithTimeout(f.ctx, wait)
	defer cancel()
	prefix := flow.WorkPrefix(f.pool.name)
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
		// What the feed has forgotten may not be read yet.
		revision = 0
	}
	f.pool.sendToFlow(flow.WorkChanged{Rows: changes.Rows, Revision: revision})
}
