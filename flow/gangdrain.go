package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// maxDrainShare is which part of the workers may be kept for gangs while tasks are still
// at work there, and lowSlackDrainShare the part while other work that could be on time is
// short of it. It answers many gangs beside many small tasks: each gang needs several
// workers that are empty at the same time, which small tasks with time to spare can give;
// in a backlog half of the pool would stand idle for gangs while small tasks grow late.
const (
	maxDrainShare      = 0.2
	lowSlackDrainShare = 0.05
	// minSlack is how little time to spare work has that is pressed.
	minSlack = 3 * time.Second
)

// drainForGang keeps the room of the workers that are free soonest for a gang that
// has none yet, so that small tasks of lower rank don't hold it up for ever, and
// don't take the room while the gang's tickets are asked for.
func (m *Machine) drainForGang(s *step) {
	s.gang.drainedWorkers = nil
	if m.gangDrains >= m.maxGangDrains {
		return
	}
	candidates := m.drainable(s)
	if len(candidates) < len(s.tasks) {
		return
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].freeAt.Before(candidates[j].freeAt) })
	candidates = candidates[:len(s.tasks)]
	busy := 0
	for _, candidate := range candidates {
		if candidate.freeAt.After(m.now) {
			busy++
		}
	}
	if busy > 0 && m.gangDrains+busy > m.maxGangDrains {
		return
	}
	for _, candidate := range candidates {
		s.gang.drainedWorkers = append(s.gang.drainedWorkers, candidate.worker)
	}
	s.gang.busyDrained = busy
	m.reserveDrained(s)
}

// reserveDrained keeps the workers that a gang waits for from the work that comes later in
// the look.
func (m *Machine) reserveDrained(s *step) {
	if len(s.gang.drainedWorkers) == 0 {
		return
	}
	m.gangDrains += s.gang.busyDrained
	need := s.spec.Reserved()
	for _, w := range s.gang.drainedWorkers {
		w.reserved = w.reserved.Add(need)
		m.reservedTotals.forDraining = m.reservedTotals.forDraining.Add(need)
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
	var candidates []drainedWorker
	for _, w := range m.eligibleWorkers(s) {
		if !m.meetsConstraints(s, w) || !w.couldRun(s) || w.reserved != (endive.Resources{}) {
			continue
		}
		if at, ok := m.freeAt(w, s.spec.Reserved()); ok {
			candidates = append(candidates, drainedWorker{worker: w, freeAt: at})
		}
	}
	return candidates
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
	sort.SliceStable(runs, func(i, j int) bool { return m.runRemaining(runs[i]) < m.runRemaining(runs[j]) })
	for _, r := range runs {
		free = free.Add(r.need)
		if need.Fits(free) {
			return m.now.Add(m.runRemaining(r)), true
		}
	}
	return time.Time{}, false
}

// maxDrains returns how many workers may be kept for gangs while tasks are at work there;
// one gang may always wait for its room.
func (m *Machine) maxDrains() int {
	part := maxDrainShare
	if m.prevLowSlack {
		part = lowSlackDrainShare
	}
	return max(int(part*float64(len(m.sortedWorkers))), m.largestGang())
}

// updateLowSlack notes that tasks wait for room which gangs leave, or don't.
func (m *Machine) updateLowSlack(j *job) {
	if j.rank.tier == tierOnTime && !j.isLongRunning() && m.hasLowSlack(j) {
		m.lowSlack = true
	}
}

// hasLowSlack reports whether a job has little time to spare.
func (m *Machine) hasLowSlack(j *job) bool { return m.slack(j) < minSlack }

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
