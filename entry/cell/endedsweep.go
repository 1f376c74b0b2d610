package cell

import (
	"context"
	"strings"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// sweepDelay is how long a new holder waits before it reads the workflows that ended in
// earlier tenures, whose rows it must delete after the retention period. Running work takes
// precedence.
const sweepDelay = 20 * time.Second

// endedSweep reads the ids of the workflows that ended in earlier tenures.
type endedSweep struct {
	pool  *pool
	epoch endive.Epoch
	ctx   context.Context
}

// newSweep returns an endedSweep for the follower's tenure.
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
			s.pool.cell.Log.Info("can't read the ended workflows, will retry", "pool", string(s.pool.name), "error", err.Error())
			continue
		}
		ended := flow.EndedJobsLoaded{Epoch: s.epoch}
		for _, row := range changes.Rows {
			ended.Jobs = append(ended.Jobs, endive.JobID(strings.TrimPrefix(row.Key, prefix)))
		}
		s.pool.sendToFlow(ended)
		return
	}
}
