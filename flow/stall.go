package flow

import "time"

// Workers whose tasks stand still, or that have turned slow, answer orders as ever
// and fail nothing. Only the progress of their runs tells. What goes on too slowly is
// stopped, so that it can start elsewhere.

const (
	// stallTime is how long a run's progress may stand still. Looks come once a
	// second at least.
	stallTime = 1600 * time.Millisecond
	// stallShare of its estimate is how long a long run may stand still, since its
	// progress is told in whole percents.
	stallShare = 20
	// slowFactor is how many times as long as like tasks elsewhere a run may take by its
	// progress.
	slowFactor = 3
	// blindFactor is how many times its estimate a run may take of which there are no
	// like tasks elsewhere. Many estimates are off by more than a slow worker is slow.
	blindFactor = 6
	// moveCost is what it takes to start elsewhere: a stop, a new ticket, a restore.
	moveCost = 700 * time.Millisecond
	// slowAge is how long a run is watched before its speed is judged.
	slowAge = 400 * time.Millisecond
	// wasteBound is how far, in percent, a run that can't save its progress may have
	// come for it to be started anew.
	wasteBound = 30
	// slowTime is how long a worker is used last after a run was too slow there.
	slowTime = 6 * time.Second
	// maxSlow is the part of the workers beyond which slowness is taken for a common
	// cause, such as estimates that are all too low.
	maxSlow = 0.34
)

// watchProgress stops runs that go on too slowly.
func (m *Machine) watchProgress(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.task == nil || r.state != runRunning || r.task.step.spec.LongRunning {
			continue
		}
		if r.task.step.spec.Gang {
			// Members wait for each other, and one stop ends all.
			continue
		}
		switch {
		case m.standsStill(r):
			m.moveOn(r, "its progress stands still at "+number(int64(r.percent))+"%")
		case m.tooSlow(r):
			m.moveOn(r, "it has come to "+number(int64(r.percent))+"% in "+m.now.Sub(r.began).Round(time.Millisecond).String())
		}
	}
}

func (m *Machine) standsStill(r *run) bool {
	limit := max(stallTime, time.Duration(r.task.step.spec.Estimate)/stallShare)
	return m.now.Sub(r.percentAt) > limit
}

// tooSlow reports whether a run would be over sooner if it started elsewhere.
func (m *Machine) tooSlow(r *run) bool {
	if m.now.Sub(r.began) < slowAge || r.percent <= r.firstPercent {
		return false
	}
	expected, factor, ok := m.expectedOf(r)
	if !ok {
		return false
	}
	whole := r.whole(m.now)
	left := whole * time.Duration(fullPercent-r.percent) / fullPercent
	if whole < time.Duration(factor)*expected || left < max(expected, moveCost) {
		return false
	}
	return r.task.step.spec.Checkpoints || r.percent < wasteBound
}

// expectedOf returns how long a run should take, and how many times as long it may: by
// what the step's other tasks show on other workers, or else by its estimate, which is
// asked only once about a task.
func (m *Machine) expectedOf(r *run) (time.Duration, int, bool) {
	s := r.task.step
	if pace, ok := s.paceElsewhere(r.worker.id); ok {
		return pace, slowFactor, true
	}
	if s.spec.Estimate == 0 || r.task.moved || s.runsElsewhere(r.worker) {
		return 0, 0, false
	}
	if m.now.Before(r.worker.health.slowUntil) {
		return m.expected(s), slowFactor, true
	}
	return m.expected(s), blindFactor, true
}

// moveOn stops a run, and uses its worker last for a while if like tasks are faster
// elsewhere.
func (m *Machine) moveOn(r *run, reason string) {
	if m.slowShare() >= maxSlow {
		return
	}
	s := r.task.step
	if _, ok := s.paceElsewhere(r.worker.id); ok || m.standsStill(r) {
		r.worker.health.slowUntil = m.now.Add(slowTime)
	}
	s.notePace(r.worker.id, r.whole(m.now))
	r.task.moved = true
	r.task.avoid = r.worker.id
	m.stopRun(r, reason)
}

// slowShare returns which part of the workers is slow.
func (m *Machine) slowShare() float64 {
	if len(m.ordered) == 0 {
		return 0
	}
	count := 0
	for _, w := range m.ordered {
		if m.now.Before(w.health.slowUntil) {
			count++
		}
	}
	return float64(count) / float64(len(m.ordered))
}
