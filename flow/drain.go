package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// maxDraining is which part of the workers may be kept for gangs while tasks are still
// at work there, and pressedDraining the part while other work that could be on time is
// short of it. It answers many gangs beside many small tasks: each gang needs several
// workers that are empty at the same time, which small tasks with time to spare can give;
// in a backlog half of the pool would stand idle for gangs while small tasks grow late.
const (
	maxDraining     = 0.2
	pressedDraining = 0.05
	// pressedSpare is how little time to spare work has that is pressed.
	pressedSpare = 3 * time.Second
)

// setAside keeps the room of the workers that are free soonest for a gang that
// has none yet, so that small tasks of lower rank don't hold it up for ever, and
// don't take the room while the gang's tickets are asked for.
func (m *Machine) setAside(s *step) {
	s.gang.drained = nil
	if m.draining >= m.mostDraining {
		return
	}
	able := m.drainable(s)
	if len(able) < len(s.tasks) {
		return
	}
	sort.SliceStable(able, func(i, j int) bool { return able[i].freeAt.Before(able[j].freeAt) })
	able = able[:len(s.tasks)]
	draining := 0
	for _, one := range able {
		if one.freeAt.After(m.now) {
			draining++
		}
	}
	if draining > 0 && m.draining+draining > m.mostDraining {
		return
	}
	for _, one := range able {
		s.gang.drained = append(s.gang.drained, one.worker)
	}
	s.gang.draining = draining
	m.keepDrained(s)
}

// keepDrained keeps the workers that a gang waits for from the work that comes later in
// the look.
func (m *Machine) keepDrained(s *step) {
	if len(s.gang.drained) == 0 {
		return
	}
	m.draining += s.gang.draining
	need := s.spec.Reserved()
	for _, w := range s.gang.drained {
		w.setAside = w.setAside.Add(need)
		m.claims.drained = m.claims.drained.Add(need)
	}
}

// drainedWorker is a worker that could be kept for a gang, and when it probably has room
// for a member.
type drainedWorker struct {
	worker *worker
	freeAt time.Time
}

// drainable returns the workers that could be kept for a gang.
func (m *Machine) drainable(s *step) []drainedWorker {
	var able []drainedWorker
	for _, w := range m.candidates(s) {
		if !m.couldStart(s, w) || !w.couldRun(s) || w.setAside != (endive.Resources{}) {
			continue
		}
		if at, ok := m.freeAt(w, s.spec.Reserved()); ok {
			able = append(able, drainedWorker{worker: w, freeAt: at})
		}
	}
	return able
}

// freeAt returns when a worker probably has some room if nothing new starts there, and
// whether it ever does.
func (m *Machine) freeAt(w *worker, need endive.Resources) (time.Time, bool) {
	free := w.free()
	if need.Fits(free) {
		return m.now, true
	}
	var runs []*run
	for _, r := range w.sortedRuns() {
		if r.task != nil && !r.task.step.spec.LongRunning {
			runs = append(runs, r)
		}
	}
	sort.SliceStable(runs, func(i, j int) bool { return m.left(runs[i]) < m.left(runs[j]) })
	for _, r := range runs {
		free = free.Add(r.need)
		if need.Fits(free) {
			return m.now.Add(m.left(r)), true
		}
	}
	return time.Time{}, false
}

// mayDrain returns how many workers may be kept for gangs while tasks are at work there;
// one gang may always wait for its room.
func (m *Machine) mayDrain() int {
	part := maxDraining
	if m.pressed {
		part = pressedDraining
	}
	return max(int(part*float64(len(m.ordered))), m.largestGang())
}

// press notes that tasks wait for room which gangs leave, or don't.
func (m *Machine) press(j *job) {
	if j.rank.tier == tierOnTime && !j.lasts() && m.isPressed(j) {
		m.pressing = true
	}
}

// isPressed reports whether a job has little time to spare.
func (m *Machine) isPressed(j *job) bool { return m.spare(j) < pressedSpare }

// largestGang returns the number of members of the largest gang that waits.
func (m *Machine) largestGang() int {
	largest := 0
	for _, j := range m.jobs {
		for i := range j.spec.Steps {
			if j.spec.Steps[i].Gang && !j.state.Ended() {
				largest = max(largest, j.spec.Steps[i].Tasks)
			}
		}
	}
	return largest
}
