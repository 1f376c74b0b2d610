package flow

import (
	"cmp"
	"slices"
	"time"
)

// Some tasks take many times their estimates. Together they fill a pool, and short work that could be on time
// waits until they have ended, though they have the slack of long work. Those that save their progress give way:
// they are stopped and resumed later.

const (
	// overrunFactor is the projected duration of a run above which it overruns, as a multiple of its forecast.
	overrunFactor = 3
	// overrunShare is the multiple of the expected duration of a waiting task that a run must have left to give way.
	overrunShare = 4
	// overrunMinAge is the minimum age of a run that gives way, so that each start gets some work done.
	overrunMinAge = 2 * time.Second
	// overrunSearchInterval is the time between two searches for runs that give way.
	overrunSearchInterval = 100 * time.Millisecond
	// overrunPassInterval is the time until the next scheduling pass while steps have no room: a run may overrun, or be old
	// enough, without an event.
	overrunPassInterval = 500 * time.Millisecond
	// overrunUrgentPause is how long no run gives way after urgent work has found no capacity: that preempts the same runs,
	// and couldn't preempt the short work that would replace them.
	overrunUrgentPause = 2 * time.Second
	// madeRoomHold is how long the room that is made for a task is kept from work that goes later: stops end one after
	// the other, and smaller tasks would take what each of them frees.
	madeRoomHold = 1500 * time.Millisecond
	// maxOverrunSteps is the maximum number of waiting steps that a search considers.
	maxOverrunSteps = 50
)

// overruns is the search for overrunning runs that give way to steps without capacity.
type overruns struct {
	// unplaced are the steps for which the current scheduling pass found no capacity, in the order of their ranks.
	unplaced []unplacedStep
	// searchAt is when the next search is due.
	searchAt time.Time
}

// madeRoom is a worker on which room is made for a task of a step, and until when it is kept for it.
type madeRoom struct {
	worker *worker
	until  time.Time
}

// keepMadeRoom reserves what is made for a step on workers, so that steps later in the scheduling pass can't use it.
func (m *Machine) keepMadeRoom(s *step, tasks int) {
	s.madeRoom = slices.DeleteFunc(s.madeRoom, func(made madeRoom) bool { return !m.now.Before(made.until) })
	for _, made := range s.madeRoom[:min(tasks, len(s.madeRoom))] {
		made.worker.reserved = made.worker.reserved.Add(s.spec.Reserved())
	}
}

// useMadeRoom forgets the room that is made on a worker, since a task of the step starts there.
func (s *step) useMadeRoom(w *worker) {
	i := slices.IndexFunc(s.madeRoom, func(made madeRoom) bool { return made.worker == w })
	if i >= 0 {
		s.madeRoom = slices.Delete(s.madeRoom, i, i+1)
	}
}

// addUnplacedOnTime records tasks of a step that fit nowhere, all members of a gang, if overrunning runs may give
// way to them.
func (m *Machine) addUnplacedOnTime(s *step, tasks int) {
	j := s.occ.job
	if j.rank.tier == tierOnTime && !j.beyondShare && !j.isLongRunning() && len(m.overruns.unplaced) < maxOverrunSteps {
		m.overruns.unplaced = append(m.overruns.unplaced, unplacedStep{step: s, tasks: tasks})
	}
}

// stopOverruns stops overrunning runs for steps that fit nowhere.
func (m *Machine) stopOverruns() {
	if len(m.unplacedUrgent) > 0 {
		m.overruns.searchAt = m.now.Add(overrunUrgentPause)
	}
	if len(m.overruns.unplaced) == 0 {
		return
	}
	m.schedulePass(m.now.Add(overrunPassInterval))
	if m.now.Before(m.overruns.searchAt) {
		return
	}
	m.overruns.searchAt = m.now.Add(overrunSearchInterval)
	candidates := m.overrunningRuns()
	if len(candidates) == 0 {
		return
	}
	plan := newRoomPlan(m, candidates)
	for _, unplaced := range m.overruns.unplaced {
		plan.returnReserved(unplaced)
	}
	stopped := 0
	for _, unplaced := range m.overruns.unplaced {
		if m.needsTicket(unplaced.step) && !unplaced.step.tickets.surveyed() {
			m.surveyWithoutRoom(unplaced.step)
			continue
		}
		for _, victim := range plan.makeRoom(unplaced) {
			if stopped += m.giveWay(victim, unplaced.step); stopped >= maxPreempted {
				return
			}
		}
	}
}

// surveyWithoutRoom requests advice for a step that has no room, so that runs give way on workers that may run it.
func (m *Machine) surveyWithoutRoom(s *step) {
	if s.spec.Gang || s.tickets.requestInFlight(m.now) {
		return
	}
	s.tickets.surveyDue = m.planRequest(s, m.surveySize(s))
}

// giveWay stops a run, or all members of its gang, and returns the number of runs that it has stopped.
func (m *Machine) giveWay(r *run, to *step) int {
	reason := "it overruns and gives way to " + string(to.id)
	s := r.task.step
	if s.spec.Gang {
		m.abortGang(s, reason)
		return len(s.tasks)
	}
	m.stopRun(r, reason)
	return 1
}

// overrunningRuns returns the runs that may give way by worker, those that go last first.
func (m *Machine) overrunningRuns() map[*worker][]*run {
	candidates := make(map[*worker][]*run)
	for _, w := range m.sortedWorkers {
		if !w.usable() {
			continue
		}
		for _, r := range w.runs {
			if m.mayGiveWay(r) {
				candidates[w] = append(candidates[w], r)
			}
		}
		slices.SortFunc(candidates[w], compareByRank)
	}
	return candidates
}

// compareByRank orders runs by the ranks of their workflows, those that go last first.
func compareByRank(a, b *run) int {
	rankA, rankB := a.task.step.occ.job.rank, b.task.step.occ.job.rank
	switch {
	case rankB.less(rankA):
		return -1
	case rankA.less(rankB):
		return 1
	default:
		return cmp.Compare(a.id, b.id)
	}
}

// mayGiveWay reports whether a run overruns, saves its progress, and has slack enough to be resumed later.
func (m *Machine) mayGiveWay(r *run) bool {
	if r.task == nil || r.state != runRunning || m.now.Sub(r.startedAt) < overrunMinAge {
		return false
	}
	s := r.task.step
	if !s.spec.Checkpoints || s.spec.LongRunning || s.spec.Gang && !s.gangComplete() {
		return false
	}
	forecast := m.forecast(s.occ.job.policy.Name).predict(s.spec.Estimate)
	return forecast > 0 && r.projectedDuration(m.now) > overrunFactor*forecast && m.slack(s.occ.job) > preemptMinSlack
}

// givesWayTo reports whether an overrunning run gives way to a task of a step, which goes first and is much shorter than
// what the run has left. The run's workflow must have slack for that.
func (m *Machine) givesWayTo(r *run, s *step) bool {
	j := r.task.step.occ.job
	expected := m.expectedDuration(s)
	return s.occ.job.rank.less(j.rank) && m.runRemaining(r) > overrunShare*expected && m.slack(j) > preemptMinSlack+expected
}
