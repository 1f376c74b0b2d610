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
	timeout := time.Duration(f.pool.cell.Settings.Timings.StoreTimeout)
	if after == 0 {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		return store.Scan(ctx, quota.Prefix, 0)
	}
	ctx, cancel := context.WithTimeout(f.ctx, time.Duration(workPollWait)+timeout)
	defer cancel()
	return store.Follow(ctx, quota.Prefix, after, workPollWait)
}

// hasCaps reports whether any account has a cap.
func (c *Cell) hasCaps() bool {
	config := c.config.current()
	if config == nil {
		return false
	}
	for _, account := range config.Accounts.All() {
		if account.Cap != (endive.Resources{}) {
			return true
		}
	}
	return false
}

// exceedsCap returns why a workflow can never run within its account's cap; empty if it can.
// Only gangs can't be run in parts.
func (c *Cell) exceedsCap(match endive.QueueMatch, workflow endive.Workflow) string {
	config := c.config.current()
	if config == nil {
		return ""
	}
	account, ok := config.Accounts.Named(match.Caller.Account)
	if !ok {
		return ""
	}
	for _, step := range workflow.Steps {
		most := account.Cap.Scale(1 + c.Settings.Bounds.QuotaOverage).Add(step.Need)
		whole := endive.QuotaAllowance{Limit: most, Cap: account.Cap}
		if step.Gang && !whole.Allows(step.Need.Times(int64(step.Tasks))) {
			return "a gang needs " + step.Need.Times(int64(step.Tasks)).String() + " at once; the account's cap is " + account.Cap.String()
		}
	}
	return ""
}
