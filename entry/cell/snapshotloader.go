package cell

import (
	"context"
	"encoding/json"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// snapshotLoader reads the stored state that a new holder needs. The reads run in parallel,
// since from another region a single call can take longer than a short task may be delayed.
type snapshotLoader struct {
	pool   *pool
	errs   chan error
	loaded flow.PoolSnapshot
}

// loadReads is the number of parallel reads: work, states, roster and workers.
const loadReads = 4

func newSnapshotLoader(p *pool) *snapshotLoader {
	return &snapshotLoader{pool: p, errs: make(chan error, loadReads)}
}

// wait waits for all reads and returns the snapshot, or the first error.
func (l *snapshotLoader) wait() (flow.PoolSnapshot, error) {
	for range loadReads {
		if err := <-l.errs; err != nil {
			return flow.PoolSnapshot{}, err
		}
	}
	return l.loaded, nil
}

func (l *snapshotLoader) runWork(ctx context.Context) {
	work, err := l.pool.cell.scanWork(ctx, l.pool.name)
	l.loaded.WorkRows, l.loaded.Revision = work.Rows, work.Revision
	l.errs <- err
}

func (l *snapshotLoader) runStates(ctx context.Context) {
	states, err := l.pool.cell.Store.Scan(ctx, flow.StatePrefix(l.pool.name), 0)
	l.loaded.StateRows = states.Rows
	l.errs <- err
}

func (l *snapshotLoader) runRoster(ctx context.Context) {
	roster, err := l.pool.cell.Store.Scan(ctx, flow.RosterPrefix(l.pool.name), 0)
	for _, row := range roster.Rows {
		l.applyRoster(row)
	}
	l.errs <- err
}

func (l *snapshotLoader) applyRoster(row endive.Row) {
	var roster flow.Roster
	if err := json.Unmarshal(row.Value, &roster); err != nil {
		l.pool.cell.Log.Error("can't decode the roster of a pool", "pool", string(l.pool.name), "error", err.Error())
		return
	}
	l.loaded.Roster = append(l.loaded.Roster, roster.Workers...)
}

func (l *snapshotLoader) runWorkers() { l.errs <- l.pool.cell.workers.refresh() }
