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
	// slowFactor is how many times its estimate a run may take by its progress.
	// Estimates are off by a factor of two.
	slowFactor = 3
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
	estimate := time.Duration(r.task.step.spec.Estimate)
	elapsed := m.now.Sub(r.began)
	progress := r.percent - r.firstPercent
	if estimate == 0 || elapsed < slowAge || progress <= 0 {
		return false
	}
	whole := elapsed * fullPercent / time.Duration(progress)
	left := whole * time.Duration(fullPercent-r.percent) / fullPercent
	if whole < slowFactor*estimate || left < estimate {
		return false
	}
	return r.task.step.spec.Checkpoints || r.percent < wasteBound
}

// moveOn stops a run and uses its worker last for a while.
func (m *Machine) moveOn(r *run, reason string) {
	if m.slowShare() >= maxSlow {
		return
	}
	r.worker.health.slowUntil = m.now.Add(slowTime)
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
