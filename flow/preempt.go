package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// Preemption answers bursts of urgent work in a pool that is full of large tasks
// with time to spare: those that save their progress are stopped and go on later.
// Only queues of the first rank may do so.

const (
	// preemptRank is the rank of queues that may preempt others.
	preemptRank = 0
	// maxPreempted bounds the runs that one look stops.
	maxPreempted = 12
	// preemptSpare is how much time to spare a workflow must have to be preempted:
	// a stop, a wait, new tickets and a restore.
	preemptSpare = 3 * time.Second
	// preemptAge is how long a run is left alone, so that work isn't stopped again
	// and again.
	preemptAge = 700 * time.Millisecond
)

// starving is a step of urgent work that found no room.
type starving struct {
	step  *step
	tasks int
}

// starve notes that tasks of a step found no room.
func (m *Machine) starve(s *step, tasks int) {
	j := s.occ.job
	if j.policy.Rank == preemptRank && j.rank.tier == tierOnTime {
		m.starved = append(m.starved, starving{step: s, tasks: tasks})
	}
}

// preempt stops runs of later queues for urgent work that found no room.
func (m *Machine) preempt() {
	stopped := 0
	coming := m.roomComing()
	for _, one := range m.starved {
		need := one.step.spec.Reserved()
		for range one.tasks {
			if need.Fits(coming) {
				coming = coming.Sub(need)
				continue
			}
			if stopped == maxPreempted {
				return
			}
			victim := m.victimFor(one.step)
			if victim == nil {
				break
			}
			stopped++
			coming = coming.Add(victim.need)
			m.stopRun(victim, "preempted for "+string(one.step.id))
			if need.Fits(coming) {
				coming = coming.Sub(need)
			}
		}
	}
}

// roomComing returns what is being stopped or will end soon.
func (m *Machine) roomComing() endive.Resources {
	var coming endive.Resources
	for _, w := range m.ordered {
		if !w.usable() {
			continue
		}
		coming = coming.Add(w.soon)
		for _, r := range w.runs {
			if r.state == runStopping {
				coming = coming.Add(r.need)
			}
		}
	}
	return coming
}

// victimFor returns the run whose stop costs least and makes room for a task of a
// step, or nil.
func (m *Machine) victimFor(s *step) *run {
	var able []*run
	need := s.spec.Reserved()
	for _, w := range m.ordered {
		if !w.usable() || !w.couldRun(s) || m.needsTicket(s) && len(s.tickets.good) > 0 && !s.tickets.known(w.id) {
			continue
		}
		for _, r := range w.runs {
			if m.preemptible(r, s) && need.Fits(w.free().Add(r.need)) {
				able = append(able, r)
			}
		}
	}
	if len(able) == 0 {
		return nil
	}
	sort.Slice(able, func(i, j int) bool {
		a, b := able[i], able[j]
		if a.task.step.occ.job.rank != b.task.step.occ.job.rank {
			return b.task.step.occ.job.rank.less(a.task.step.occ.job.rank)
		}
		return a.id < b.id
	})
	return able[0]
}

// preemptible reports whether a run may be stopped for a step.
func (m *Machine) preemptible(r *run, s *step) bool {
	if r.task == nil || r.state != runRunning || m.now.Sub(r.began) < preemptAge {
		return false
	}
	spec, j := r.task.step.spec, r.task.step.occ.job
	if !spec.Checkpoints || spec.LongRunning || spec.Gang && spec.Tasks > 1 || j.policy.Rank <= s.occ.job.policy.Rank {
		return false
	}
	if m.left(r) < askAheadOf {
		return false
	}
	switch j.rank.tier {
	case tierHopeless:
		return true
	case tierLate:
		return false
	default:
		return m.spare(j) > preemptSpare
	}
}
