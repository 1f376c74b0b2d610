package cell

import (
	"context"
	"encoding/json"
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
	given *flow.Loaded
}

// newFollow returns what reads for a tenure. What the last holder gave counts if nobody
// held the pool in between.
func newFollow(p *pool, epoch endive.Epoch, given *flow.Loaded) *follow {
	ctx, cancel := context.WithCancel(p.cell.ctx)
	if given != nil && (given.Epoch+1 != epoch || given.Revision == 0) {
		given = nil
	}
	return &follow{pool: p, epoch: epoch, ctx: ctx, cancel: cancel, given: given}
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
func (f *follow) load() (flow.Loaded, error) {
	if f.given != nil {
		return f.loadGiven()
	}
	ctx, cancel := context.WithTimeout(f.ctx, loadTimeout)
	defer cancel()
	rows, name := f.pool.cell.Rows, f.pool.name
	work, err := f.pool.cell.scanWork(ctx, name)
	if err != nil {
		return flow.Loaded{}, err
	}
	states, err := rows.Scan(ctx, flow.StatePrefix(name), 0)
	if err != nil {
		return flow.Loaded{}, err
	}
	roster, err := rows.Scan(ctx, flow.RosterPrefix(name), 0)
	if err != nil {
		return flow.Loaded{}, err
	}
	if err := f.pool.cell.workers.refresh(); err != nil {
		return flow.Loaded{}, err
	}
	f.after = work.Revision
	loaded := flow.Loaded{Epoch: f.epoch, Revision: work.Revision, Work: work.Rows, States: states.Rows}
	for _, row := range roster.Rows {
		var read flow.Roster
		if err := json.Unmarshal(row.Value, &read); err != nil {
			f.pool.cell.Log.Error("the roster can't be read", "pool", string(name), "error", err.Error())
			continue
		}
		loaded.Roster = append(loaded.Roster, read.Workers...)
	}
	return loaded, nil
}

// next waits for new rows.
func (f *follow) next() {
	wait := time.Duration(followWait) + time.Duration(f.pool.cell.Settings.Timings.StoreTimeout)
	ctx, cancel := context.WithTimeout(f.ctx, wait)
	defer cancel()
	prefix := flow.WorkPrefix(f.pool.name)
	var changes endive.Changes
	var err error
	if f.after == 0 {
		changes, err = f.pool.cell.scanWork(ctx, f.pool.name)
	} else {
		changes, err = f.pool.cell.Rows.Follow(ctx, prefix, f.after, followWait)
	}
	if f.ctx.Err() != nil {
		return
	}
	if endive.ErrHistoryLost.Has(err) {
		f.after = 0
		return
	}
	if err != nil {
		f.pool.cell.pause(followRetry)
		return
	}
	f.after = changes.Revision
	f.pool.tell(flow.WorkChanged{Rows: changes.Rows, Revision: changes.Revision})
}
