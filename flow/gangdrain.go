package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// maxDrainShare is the maximum share of the workers that may be drained for gangs while tasks
// still run there. lowSlackDrainShare is the maximum while other work that can still meet
// its objective has low slack. The limits are meant for many gangs beside many small
// tasks. Each gang needs several workers that are empty at the same time, and small tasks
// with enough slack can wait for that. Without a limit, half of the pool would be idle
// for gangs in a backlog while small tasks miss their objectives.
const (
	maxDrainShare      = 0.2
	lowSlackDrainShare = 0.05
	// minSlack is the slack below which a workflow has low slack.
	minSlack = 3 * time.Second
)

// drainForGang drains the workers that will be free soonest for a gang that doesn't fit yet.
// Otherwise small tasks of lower rank could delay the gang for ever, and could take the
// capacity while the gang's tickets are requested.
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

// reserveDrained reserves capacity on a gang's drained workers, so that steps later in the
// scheduling pass can't use it.
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

// drainedWorker is a worker that could be drained for a gang, and when a member will probably
// fit there.
type drainedWorker struct {
	worker *worker
	freeAt time.Time
}

// drainable returns the workers that could be drained for a gang.
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

// freeAt returns when a worker will probably have the needed capacity if nothing new starts
// there. The result is false if it never will.
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

// maxDrains returns how many workers may be drained for gangs while tasks still run there. The
// number is always enough for one gang.
func (m *Machine) maxDrains() int {
	share := maxDrainShare
	if m.prevLowSlack {
		share = lowSlackDrainShare
	}
	return max(int(share*float64(len(m.sortedWorkers))), m.largestGang())
}

// updateLowSlack records that a workflow which can still meet its objective has low slack and
// tasks that fit nowhere.
func (m *Machine) updateLowSlack(j *job) {
	if j.rank.tier == tierOnTime && !j.isLongRunning() && m.hasLowSlack(j) {
		m.lowSlack = true
	}
}

// hasLowSlack reports whether a job's slack is below minSlack.
func (m *Machine) hasLowSlack(j *job) bool { return m.slack(j) < minSlack }

// largestGang returns the number of members of the largest gang of the live workflows.
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
