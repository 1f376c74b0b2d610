package flow

import (
	"time"

	"endiveroute.example/endive"
)

// A gang starts when all its members have free capacity and valid tickets at the same time.
// This file handles pools with many gangs beside small tasks, in which few workers are
// eligible for each gang and advice requests take longer than tickets are valid. The
// eligible workers of a gang never change, so the first request (the survey) names many
// workers, with or without free capacity. The gang then waits until enough eligible
// workers have free capacity, reserves it, and requests new tickets for these workers
// only. Capacity is thus idle only on eligible workers and for one short request.

const (
	// surveyPerMember is how many workers the first advice request names for each member.
	surveyPerMember = 25
	// sparesPerMember is how many other eligible workers with free capacity a later request
	// names for each member, in case some of the reserved ones fail in the meantime.
	sparesPerMember = 1
	// reserveHorizon is added to the base response time of an advice request to get the
	// time within which reserved capacity must become free.
	reserveHorizon = 100 * time.Millisecond
	// maxSurveyAge is how old a gang's last advice request may get while the known eligible workers
	// don't suffice.
	maxSurveyAge = 6 * time.Second
	// gangSearchInterval is the minimum time between two searches for a gang's workers.
	gangSearchInterval = 50 * time.Millisecond
)

// GangSurveySize returns how many workers the first advice request about a gang names.
func GangSurveySize(members int) int { return min(MaxAdviceWorkers, surveyPerMember*members) }

// surveySize returns how many workers the next survey for a gang names. After the first
// survey it is the maximum, because the known eligible workers don't suffice.
func (m *Machine) surveySize(s *step) int {
	if s.tickets.surveyed() {
		return MaxAdviceWorkers
	}
	return GangSurveySize(len(s.tasks))
}

// prepareGang reserves capacity, drains workers or requests advice for a gang that can't
// start now.
func (m *Machine) prepareGang(s *step) {
	switch {
	case m.now.Before(s.gang.searchAt):
		m.gangsWaiting = m.gangsWaiting || s.gang.reservedWorkers == nil
		m.applyReservation(s)
		m.reserveDrained(s)
		m.schedulePass(s.gang.searchAt)
	case !m.needsTicket(s):
		m.delayGangSearch(s)
		m.drainForGang(s)
	case m.awaitsTakeover(s):
	case s.tickets.requestInFlight(m.now):
		m.schedulePass(s.tickets.requestedAt.Add(adviceTimeout))
		m.applyReservation(s)
	case !s.tickets.surveyed():
		m.planRequest(s, m.surveySize(s))
	default:
		m.reserveGang(s)
	}
}

// delayGangSearch delays the next search for a gang's workers. Many gangs wait in a backlog,
// and each search iterates over the runs of their workers.
func (m *Machine) delayGangSearch(s *step) { s.gang.searchAt = m.now.Add(gangSearchInterval) }

// reserveGang reserves capacity for all members on eligible workers and requests new tickets
// for these workers.
func (m *Machine) reserveGang(s *step) {
	m.delayGangSearch(s)
	s.gang.drainedWorkers = nil
	s.gang.reservedWorkers = m.chooseGangAmong(s, func(w *worker) (endive.Resources, bool) { return m.capacitySoon(s, w), true })
	if s.gang.reservedWorkers == nil {
		m.gangsWaiting = true
		m.advice.shortOfCapacity = true
		m.drainForGang(s)
		if m.fewEligible(s) || m.mayResurvey(s) {
			m.planRequest(s, m.surveySize(s))
		}
		return
	}
	if s.hasTickets(s.gang.reservedWorkers, m.now) || m.planRequest(s, len(s.gang.reservedWorkers)*(1+sparesPerMember)) {
		m.applyReservation(s)
		return
	}
	s.gang.reservedWorkers = nil
}

// applyReservation reserves capacity on a gang's reserved workers, so that steps later in the
// scheduling pass can't use it.
func (m *Machine) applyReservation(s *step) {
	need := s.spec.Reserved()
	for _, w := range s.gang.reservedWorkers {
		w.reserved = w.reserved.Add(need)
		m.reservedTotals.forGangs = m.reservedTotals.forGangs.Add(need)
	}
	m.advice.freeCapacity = m.advice.freeCapacity.Sub(need.Times(int64(len(s.gang.reservedWorkers))))
}

// capacitySoon returns the capacity of a worker that is free or probably will be as soon as a new
// ticket arrives.
func (m *Machine) capacitySoon(s *step, w *worker) endive.Resources {
	return w.free().Add(m.freedBefore(w, m.now.Add(time.Duration(s.occ.job.policy.Advice.Base)+reserveHorizon)))
}

// freedBefore returns the capacity that runs on a worker will probably free before a time. It looks
// at the runs once for all gangs with the same horizon in a scheduling pass; what starts in the
// pass isn't about to end.
func (m *Machine) freedBefore(w *worker, until time.Time) endive.Resources {
	if w.freedSoon.step != m.stepCount || !w.freedSoon.until.Equal(until) {
		w.freedSoon = freedCapacity{step: m.stepCount, until: until, resources: m.freedWithin(w, until.Sub(m.now))}
	}
	return w.freedSoon.resources
}

// freedCapacity is the capacity that runs on a worker will probably free until a time, as seen in a
// step of the machine.
type freedCapacity struct {
	step      uint64
	until     time.Time
	resources endive.Resources
}

// fewEligible reports whether the known eligible workers could together run fewer than twice
// the gang's members if they were empty, and the eligibility of other workers is unknown.
func (m *Machine) fewEligible(s *step) bool {
	places := 0
	need := s.spec.Reserved()
	for _, w := range m.eligibleWorkers(s) {
		if w.usable() {
			places += w.placesIn(s, need, w.info.Capacity)
		}
	}
	return places < 2*len(s.tasks) && m.hasUnknownWorkers(s)
}

// mayResurvey reports whether a gang that fits nowhere may request advice about more workers:
// some time after its last request if other requests use less than half of the limit, and
// later whatever they use. Otherwise a gang would never learn of other workers in a busy pool.
func (m *Machine) mayResurvey(s *step) bool {
	if !m.hasUnknownWorkers(s) {
		return false
	}
	since := m.now.Sub(s.tickets.requestedAt)
	spare := m.advice.inFlightCost+m.advice.plannedCost < m.maxInFlightCost()/2
	return since > adviceCooldown && spare || since > maxSurveyAge
}

// hasUnknownWorkers reports whether there are workers whose eligibility for a step is unknown.
func (m *Machine) hasUnknownWorkers(s *step) bool {
	return len(s.tickets.eligible)+len(s.tickets.ineligible) < len(m.sortedWorkers)
}

// hasTickets reports whether the step has valid tickets for all given workers.
func (s *step) hasTickets(workers []*worker, now time.Time) bool {
	for _, w := range workers {
		if !s.tickets.valid(w.id, now) {
			return false
		}
	}
	return true
}

// gangAdviceCandidates returns the workers to name in an advice request for a gang: the
// reserved ones and some spares, or the candidates of a survey if none are reserved.
func (m *Machine) gangAdviceCandidates(s *step) []endive.WorkerID {
	if s.gang.reservedWorkers == nil {
		return m.surveyCandidates(s)
	}
	var workers []endive.WorkerID
	named := make(map[*worker]bool)
	for _, w := range s.gang.reservedWorkers {
		if !named[w] {
			workers = append(workers, w.id)
			named[w] = true
		}
	}
	spares := sparesPerMember * len(s.gang.reservedWorkers)
	for _, w := range m.eligibleWorkers(s) {
		if spares > 0 && !named[w] && m.meetsConstraints(s, w) && w.places(s) > 0 {
			workers = append(workers, w.id)
			spares--
		}
	}
	return workers[:min(len(workers), MaxAdviceWorkers)]
}

// surveyCandidates returns workers that could run a member and whose eligibility is unknown.
// Those with free capacity come first.
func (m *Machine) surveyCandidates(s *step) []endive.WorkerID {
	var withCapacity, others []endive.WorkerID
	for _, w := range m.sortedWorkers {
		switch {
		case !w.usable() || !w.couldRun(s) || s.tickets.isEligible(w.id):
		case w.places(s) > 0:
			withCapacity = append(withCapacity, w.id)
		default:
			others = append(others, w.id)
		}
	}
	workers := append(RotateByStep(withCapacity, s.id), RotateByStep(others, s.id)...)
	return workers[:min(len(workers), m.surveySize(s))]
}

// yieldsToGang reports whether a task must not use an empty worker because gangs wait for
// workers and the task's workflow has enough slack.
func (m *Machine) yieldsToGang(s *step, w *worker) bool {
	j := s.occ.job
	return m.prevGangsWaiting && len(w.runs) == 0 && j.policy.Rank > preemptRank && !j.isLongRunning() && !m.hasLowSlack(j)
}
