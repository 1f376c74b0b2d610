package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// Preemption handles bursts of urgent work in a pool that is full of large tasks with slack:
// runs of tasks that save their progress are stopped and resumed later. Only queues of
// the first rank may preempt others.

const (
	// preemptRank is the rank of queues that may preempt others.
	preemptRank = 0
	// maxPreempted is the maximum number of runs that one scheduling pass stops.
	maxPreempted = 12
	// maxFailedSearches is the number of urgent steps in a scheduling pass for which no run to stop is
	// found until the others, which go after them, are no longer considered.
	maxFailedSearches = 50
	// preemptMinSlack is the slack that a workflow must have to be preempted. It covers
	// the stop, the wait for capacity, new tickets and the restore.
	preemptMinSlack = 3 * time.Second
	// preemptMinAge is the minimum age of a run to be preempted, so that the same work
	// isn't stopped again and again.
	preemptMinAge = 700 * time.Millisecond
)

// unplacedStep is an urgent step and the number of its tasks that fit nowhere.
type unplacedStep struct {
	step  *step
	tasks int
}

// addUnplaced records tasks of a step that fit nowhere if they are urgent and can still be on
// time.
func (m *Machine) addUnplaced(s *step, tasks int) {
	j := s.occ.job
	if j.policy.Rank == preemptRank && j.rank.tier == tierOnTime && !j.beyondShare {
		m.unplacedUrgent = append(m.unplacedUrgent, unplacedStep{step: s, tasks: tasks})
	}
}

// preempt stops runs of lower-ranked queues for urgent tasks that fit nowhere.
func (m *Machine) preempt() {
	if len(m.unplacedUrgent) == 0 {
		return
	}
	candidates := m.preemptibleRuns()
	if len(candidates) == 0 {
		return
	}
	stopped, failed := 0, 0
	freeing := m.freeingCapacity()
	for _, unplaced := range m.unplacedUrgent {
		if failed == maxFailedSearches {
			return
		}
		need := unplaced.step.spec.Reserved()
		for range unplaced.tasks {
			if need.Fits(freeing) {
				freeing = freeing.Sub(need)
				continue
			}
			if stopped == maxPreempted {
				return
			}
			victim := m.findVictim(unplaced.step, candidates)
			if victim == nil {
				failed++
				break
			}
			stopped++
			freeing = freeing.Add(victim.need)
			m.stopRun(victim, "preempted for "+string(unplaced.step.id))
			if need.Fits(freeing) {
				freeing = freeing.Sub(need)
			}
		}
	}
}

// freeingCapacity returns the capacity of the runs that are being stopped or will end soon.
func (m *Machine) freeingCapacity() endive.Resources {
	var freeing endive.Resources
	for _, w := range m.sortedWorkers {
		if !w.usable() {
			continue
		}
		byRuns := w.freeingSoon
		for _, r := range w.runs {
			if r.state == runStopping {
				byRuns = byRuns.Add(r.need)
			}
		}
		freeing = freeing.Add(w.freed(byRuns))
	}
	return freeing
}

// preemptibleRuns returns the runs that may be preempted for urgent work, those of the lowest rank first,
// because their stop costs least. It is called once in a scheduling pass: hundreds of urgent steps may
// wait, beside thousands of runs.
func (m *Machine) preemptibleRuns() []*run {
	var candidates []*run
	for _, w := range m.sortedWorkers {
		if !w.usable() {
			continue
		}
		for _, r := range w.runs {
			if m.preemptible(r) {
				candidates = append(candidates, r)
			}
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.task.step.occ.job.rank != b.task.step.occ.job.rank {
			return b.task.step.occ.job.rank.less(a.task.step.occ.job.rank)
		}
		return a.id < b.id
	})
	return candidates
}

// findVictim returns the first of the candidates that frees enough capacity for a task of a step, or nil.
func (m *Machine) findVictim(s *step, candidates []*run) *run {
	need := s.spec.Reserved()
	for _, r := range candidates {
		w := r.worker
		if r.state != runRunning || !need.Fits(w.free().Add(r.need)) || !w.couldRun(s) {
			continue
		}
		if m.needsTicket(s) && len(s.tickets.eligible) > 0 && !s.tickets.isEligible(w.id) {
			continue
		}
		return r
	}
	return nil
}

// preemptible reports whether a run may be preempted for work of preemptRank.
func (m *Machine) preemptible(r *run) bool {
	if r.task == nil || r.state != runRunning || m.now.Sub(r.startedAt) < preemptMinAge {
		return false
	}
	spec, j := r.task.step.spec, r.task.step.occ.job
	if !spec.Checkpoints || spec.LongRunning || spec.Gang && spec.Tasks > 1 || j.policy.Rank <= preemptRank {
		return false
	}
	if m.runRemaining(r) < freeingHorizon {
		return false
	}
	switch j.rank.tier {
	case tierTooLate:
		return true
	case tierLate:
		return false
	default:
		return m.slack(j) > preemptMinSlack
	}
}
