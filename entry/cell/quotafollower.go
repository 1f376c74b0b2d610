package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/quota"
)

// noCapsDelay is the time between two looks at the configuration while no account has a cap.
const noCapsDelay = 500 * time.Millisecond

// quotaFollower reads the pools' parts of the accounts' caps during one tenure: all rows first,
// then the changes from the store's feed.
type quotaFollower struct {
	pool *pool
	ctx  context.Context
}

func (f *quotaFollower) run() {
	var after endive.Revision
	for f.ctx.Err() == nil {
		if !f.pool.cell.hasCaps() {
			f.pool.cell.sleep(noCapsDelay)
			continue
		}
		changes, err := f.read(after)
		if endive.ErrHistoryLost.Has(err) {
			after = 0
			continue
		}
		if err != nil {
			f.pool.cell.sleep(retryDelay)
			continue
		}
		f.pool.sendToFlow(flow.QuotaRowsRead{Rows: changes.Rows, Complete: after == 0})
		after = changes.Revision
	}
}

// read returns all rows, or those that changed after a revision.
func (f *quotaFollower) read(after endive.Revision) (endive.Changes, error) {
	store := f.pool.cell.Store
	ctx := endive.WithStallTimeout(f.ctx, f.pool.cell.Settings.Timings.StoreTimeout)
	if after == 0 {
		return store.Scan(ctx, quota.Prefix, 0)
	}
	return store.Follow(ctx, quota.Prefix, after, workPollWait)
}

// hasCaps reports whether any account has a cap.
func (c *Cell) hasCaps() bool {
	config := c.config.current()
	return config != nil && config.Accounts.HaveCap()
}
