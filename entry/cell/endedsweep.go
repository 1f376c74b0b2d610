package cell

import (
	"context"
	"strings"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// sweepDelay is how long after it has begun a holder looks for workflows that ended long
// ago, whose rows are to be deleted some day. Its live work goes first.
const sweepDelay = 20 * time.Second

// endedSweep finds the workflows that ended under earlier holders.
type endedSweep struct {
	pool  *pool
	epoch endive.Epoch
	ctx   context.Context
}

// newSweep returns what looks for ended workflows in the tenure.
func (f *workFollower) newSweep() *endedSweep {
	return &endedSweep{pool: f.pool, epoch: f.epoch, ctx: f.ctx}
}

func (s *endedSweep) run() {
	for s.ctx.Err() == nil {
		s.pool.cell.sleep(sweepDelay)
		if s.ctx.Err() != nil {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
		prefix := flow.EndedPrefix(s.pool.name)
		changes, err := s.pool.cell.Store.Scan(ctx, prefix, 0)
		cancel()
		if err != nil {
			s.pool.cell.Log.Info("ended workflows can't be read yet", "pool", string(s.pool.name), "error", err.Error())
			continue
		}
		found := flow.EndedJobsLoaded{Epoch: s.epoch}
		for _, row := range changes.Rows {
			found.Jobs = append(found.Jobs, endive.JobID(strings.TrimPrefix(row.Key, prefix)))
		}
		s.pool.sendToFlow(found)
		return
	}
}
