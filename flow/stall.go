package flow

import "time"

// Workers whose tasks are stalled, or that have become slow, still answer orders and fail no
// tasks. Only the progress of their runs shows the fault. Runs that are too slow are
// stopped, so that their tasks can start elsewhere.

const (
	// stallTimeout is how long a run may make no progress. A worker is polled at least once
	// a second.
	stallTimeout = 1600 * time.Millisecond
	// stallEstimateShare is the divisor that gives the stall timeout of a long run from its
	// estimate. Such runs need longer for the next whole percent, in which progress is
	// reported.
	stallEstimateShare = 20
	// slowFactor is the projected duration above which a run is too slow, as a multiple of
	// the pace of the step's tasks on other workers.
	slowFactor = 3
	// estimateSlowFactor is the same limit as a multiple of the estimate, for runs without
	// such tasks on other workers. It is higher because the error of many estimates is
	// larger than the slowdown of a slow worker.
	estimateSlowFactor = 6
	// restartCost is the time to restart elsewhere: a stop, a new ticket and a restore.
	restartCost = 700 * time.Millisecond
	// minSpeedAge is the minimum age of a run whose speed is evaluated.
	minSpeedAge = 400 * time.Millisecond
	// maxWastedPercent is the progress, in percent, from which a run that can't save its
	// progress is no longer restarted for being slow.
	maxWastedPercent = 30
	// slowPenaltyTime is how long a worker's score is reduced after a run was too slow there.
	slowPenaltyTime = 6 * time.Second
	// maxSlowShare is the share of slow workers from which on a common cause is assumed,
	// such as estimates that are all too low, and no run is restarted.
	maxSlowShare = 0.34
)

// checkProgress stops runs on a worker that are stalled or too slow.
func (m *Machine) checkProgress(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.task == nil || r.state != runRunning || r.task.step.spec.LongRunning {
			continue
		}
		if r.task.step.spec.Gang {
			// Members wait for each other, and stopping one would stop all of them.
			continue
		}
		switch {
		case m.isStalled(r):
			m.restartElsewhere(r, "no progress beyond "+formatInt(int64(r.percent))+"%")
		case m.isTooSlow(r):
			m.restartElsewhere(r, "too slow: "+formatInt(int64(r.percent))+"% done in "+m.now.Sub(r.startedAt).Round(time.Millisecond).String())
		}
	}
}

func (m *Machine) isStalled(r *run) bool {
	limit := max(stallTimeout, time.Duration(r.task.step.spec.Estimate)/stallEstimateShare)
	return m.now.Sub(r.percentAt) > limit
}

// isTooSlow reports whether a run is so slow that its task would end sooner if it were
// restarted on another worker.
func (m *Machine) isTooSlow(r *run) bool {
	if m.now.Sub(r.startedAt) < minSpeedAge || r.percent <= r.firstPercent {
		return false
	}
	expected, factor, ok := m.expectedForRun(r)
	if !ok {
		return false
	}
	projected := r.projectedDuration(m.now)
	remaining := projected * time.Duration(fullPercent-r.percent) / fullPercent
	if projected < time.Duration(factor)*expected || remaining < max(expected, restartCost) {
		return false
	}
	return r.task.step.spec.Checkpoints || r.percent < maxWastedPercent
}

// expectedForRun returns the expected duration of a run and the multiple of it above which
// the run is too slow. It uses the pace of the step's tasks on other workers if known,
// otherwise the estimate. The estimate may cause only one restart of a task.
func (m *Machine) expectedForRun(r *run) (time.Duration, int, bool) {
	s := r.task.step
	if pace, ok := s.paceElsewhere(r.worker.id); ok {
		return pace, slowFactor, true
	}
	if s.spec.Estimate == 0 || r.task.restartedElsewhere || s.runsElsewhere(r.worker) {
		return 0, 0, false
	}
	if m.now.Before(r.worker.health.slowUntil) {
		return m.expectedDuration(s), slowFactor, true
	}
	return m.expectedDuration(s), estimateSlowFactor, true
}

// restartElsewhere stops a run so that its task restarts on another worker. It also reduces
// the worker's score for a while if the run is stalled or the step's tasks are faster on
// other workers.
func (m *Machine) restartElsewhere(r *run, reason string) {
	if m.slowShare() >= maxSlowShare {
		return
	}
	s := r.task.step
	if _, ok := s.paceElsewhere(r.worker.id); ok || m.isStalled(r) {
		r.worker.health.slowUntil = m.now.Add(slowPenaltyTime)
	}
	s.recordPace(r.worker.id, r.projectedDuration(m.now))
	r.task.restartedElsewhere = true
	r.task.avoidWorker = r.worker.id
	m.stopRun(r, reason)
}

// slowShare returns the share of the workers that are marked as slow.
func (m *Machine) slowShare() float64 {
	if len(m.sortedWorkers) == 0 {
		return 0
	}
	count := 0
	for _, w := range m.sortedWorkers {
		if m.now.Before(w.health.slowUntil) {
			count++
		}
	}
	return float64(count) / float64(len(m.sortedWorkers))
}
