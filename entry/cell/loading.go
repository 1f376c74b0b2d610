package cell

import (
	"context"
	"encoding/json"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// loading reads what a new holder needs, side by side: from a far region each call takes
// longer than a quick task may wait.
type loading struct {
	pool   *pool
	errs   chan error
	loaded flow.PoolSnapshot
}

// loadParts is how many parts a loading has.
const loadParts = 4

func newLoading(p *pool) *loading { return &loading{pool: p, errs: make(chan error, loadParts)} }

// wait returns what was read, or the first error.
func (l *loading) wait() (flow.PoolSnapshot, error) {
	for range loadParts {
		if err := <-l.errs; err != nil {
			return flow.PoolSnapshot{}, err
		}
	}
	return l.loaded, nil
}

func (l *loading) runWork(ctx context.Context) {
	work, err := l.pool.cell.scanWork(ctx, l.pool.name)
	l.loaded.WorkRows, l.loaded.Revision = work.Rows, work.Revision
	l.errs <- err
}

func (l *loading) runStates(ctx context.Context) {
	states, err := l.pool.cell.Rows.Scan(ctx, flow.StatePrefix(l.pool.name), 0)
	l.loaded.StateRows = states.Rows
	l.errs <- err
}

func (l *loading) runRoster(ctx context.Context) {
	roster, err := l.pool.cell.Rows.Scan(ctx, flow.RosterPrefix(l.pool.name), 0)
	for _, row := range roster.Rows {
		l.takeRoster(row)
	}
	l.errs <- err
}

func (l *loading) takeRoster(row endive.Row) {
	var read flow.Roster
	if err := json.Unmarshal(row.Value, &read); err != nil {
		l.pool.cell.Log.Error("the roster can't be read", "pool", string(l.pool.name), "error", err.Error())
		return
	}
	l.loaded.Roster = append(l.loaded.Roster, read.Workers...)
}

func (l *loading) runWorkers() { l.errs <- l.pool.cell.workers.refresh() }
