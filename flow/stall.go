package flow

import "time"

// Workers whose tasks stand still, or that have turned slow, answer orders as ever
// and fail nothing. Only the progress of their runs tells. What goes on too slowly is
// stopped, so that it can start elsewhere.

const (
	// stallTimeout is how long a run's progress may stand still. Looks come once a
	// second at least.
	stallTimeout = 1600 * time.Millisecond
	// stallEstimateShare of its estimate is how long a long run may stand still, since its
	// progress is told in whole percents.
	stallEstimateShare = 20
	// slowFactor is how many times as long as like tasks elsewhere a run may take by its
	// progress.
	slowFactor = 3
	// estimateSlowFactor is how many times its estimate a run may take of which there are no
	// like tasks elsewhere. Many estimates are off by more than a slow worker is slow.
	estimateSlowFactor = 6
	// restartCost is what it takes to start elsewhere: a stop, a new ticket, a restore.
	restartCost = 700 * time.Millisecond
	// minSpeedAge is how long a run is watched before its speed is judged.
	minSpeedAge = 400 * time.Millisecond
	// maxWastedPercent is how far, in percent, a run that can't save its progress may have
	// come for it to be started anew.
	maxWastedPercent = 30
	// slowPenaltyTime is how long a worker is used last after a run was too slow there.
	slowPenaltyTime = 6 * time.Second
	// maxSlowShare is the part of the workers beyond which slowness is taken for a common
	// cause, such as estimates that are all too low.
	maxSlowShare = 0.34
)

// checkProgress stops runs that go on too slowly.
func (m *Machine) checkProgress(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.task == nil || r.state != runRunning || r.task.step.spec.LongRunning {
			continue
		}
		if r.task.step.spec.Gang {
			// Members wait for each other, and one stop ends all.
			continue
		}
		switch {
		case m.isStalled(r):
			m.restartElsewhere(r, "its progress stands still at "+formatInt(int64(r.percent))+"%")
		case m.isTooSlow(r):
			m.restartElsewhere(r, "it has come to "+formatInt(int64(r.percent))+"% in "+m.now.Sub(r.startedAt).Round(time.Millisecond).String())
		}
	}
}

func (m *Machine) isStalled(r *run) bool {
	limit := max(stallTimeout, time.Duration(r.task.step.spec.Estimate)/stallEstimateShare)
	return m.now.Sub(r.percentAt) > limit
}

// isTooSlow reports whether a run would be over sooner if it started elsewhere.
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

// expectedForRun returns how long a run should take, and how many times as long it may: by
// what the step's other tasks show on other workers, or else by its estimate, which is
// asked only once about a task.
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

// restartElsewhere stops a run, and uses its worker last for a while if like tasks are faster
// elsewhere.
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

// slowShare returns which part of the workers is slow.
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
