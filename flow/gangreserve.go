package flow

import (
	"time"

	"endiveroute.example/endive"
)

// A gang starts when all its members find room with valid tickets at the same moment. It
// answers many gangs that wait beside small tasks, where few workers are good for each
// gang and questions take longer than tickets last. What is good never changes, so it is
// asked first, of many workers and whatever their room. From then on the gang waits until
// enough of the good ones have room, reserves just that, and asks for fresh tickets about
// these alone. Room is kept idle for the time of one short question, and on workers that
// will do.

const (
	// surveyPerMember is how many workers the first question names for each member.
	surveyPerMember = 25
	// sparesPerMember is how many other good workers with room a later question names
	// for each member, in case that some of the reserved ones are lost meanwhile.
	sparesPerMember = 1
	// reserveHorizon is how much longer than its question room may still be in use that
	// is reserved.
	reserveHorizon = 100 * time.Millisecond
	// gangSearchInterval lies between two looks for workers for a gang.
	gangSearchInterval = 50 * time.Millisecond
)

// GangSurveySize returns how many workers the first question about a gang names.
func GangSurveySize(members int) int { return min(MaxAdviceWorkers, surveyPerMember*members) }

// surveySize returns how many workers the next question about a gang names: as many as
// possible if none of those that are known had room.
func (m *Machine) surveySize(s *step) int {
	if s.tickets.surveyed() {
		return MaxAdviceWorkers
	}
	return GangSurveySize(len(s.tasks))
}

// prepareGang has a gang wait that can't start now.
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
	case s.occ.job.awaitsTakeover(m):
	case s.tickets.requestInFlight(m.now):
		m.schedulePass(s.tickets.requestedAt.Add(adviceTimeout))
		m.applyReservation(s)
	case !s.tickets.surveyed():
		m.planRequest(s, m.surveySize(s))
	default:
		m.reserveGang(s)
	}
}

// delayGangSearch puts the next look for other workers off: many gangs wait in a backlog, and
// each look goes through their workers' runs.
func (m *Machine) delayGangSearch(s *step) { s.gang.searchAt = m.now.Add(gangSearchInterval) }

// reserveGang reserves room for all members where good workers have it, and wants fresh
// tickets for it.
func (m *Machine) reserveGang(s *step) {
	m.delayGangSearch(s)
	s.gang.drainedWorkers = nil
	s.gang.reservedWorkers = m.chooseGangAmong(s, func(w *worker) bool { return m.startableSoon(s, w) })
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

// applyReservation keeps the reserved room from the work that comes later in the look.
func (m *Machine) applyReservation(s *step) {
	need := s.spec.Reserved()
	for _, w := range s.gang.reservedWorkers {
		w.reserved = w.reserved.Add(need)
		m.reservedTotals.forGangs = m.reservedTotals.forGangs.Add(need)
	}
	m.advice.freeCapacity = m.advice.freeCapacity.Sub(need.Times(int64(len(s.gang.reservedWorkers))))
}

// startableSoon reports whether a member can probably start on a worker once there is a fresh
// ticket.
func (m *Machine) startableSoon(s *step, w *worker) bool {
	if !m.meetsConstraints(s, w) {
		return false
	}
	need, free := s.spec.Reserved(), w.free()
	if need.Fits(free) {
		return true
	}
	return need.Fits(free.Add(m.freedWithin(w, time.Duration(s.occ.job.policy.Advice.Base)+reserveHorizon)))
}

// fewEligible reports whether too few good workers are known for a gang, and others could be
// asked about.
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

// mayResurvey reports whether a gang that found no room may ask about more workers: while
// questions of others leave the time, and not at once after the last.
func (m *Machine) mayResurvey(s *step) bool {
	return m.hasUnknownWorkers(s) && m.now.Sub(s.tickets.requestedAt) > adviceCooldown && m.advice.inFlightCost+m.advice.plannedCost < m.maxInFlightCost()/2
}

// hasUnknownWorkers reports whether there are workers of which nothing is known for a step.
func (m *Machine) hasUnknownWorkers(s *step) bool {
	return len(s.tickets.eligible)+len(s.tickets.ineligible) < len(m.sortedWorkers)
}

// hasTickets reports whether there are valid tickets for workers.
func (s *step) hasTickets(workers []*worker, now time.Time) bool {
	for _, w := range workers {
		if !s.tickets.valid(w.id, now) {
			return false
		}
	}
	return true
}

// gangAdviceCandidates returns the workers to name: those that are reserved and some like them,
// or as many as possible of which nothing is known.
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

// surveyCandidates returns workers that could run a member and of which nothing is known, those
// with room first.
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

// yieldsToGang reports whether a task leaves an empty worker to gangs that wait for some,
// since it has time to spare.
func (m *Machine) yieldsToGang(s *step, w *worker) bool {
	j := s.occ.job
	return m.prevGangsWaiting && len(w.runs) == 0 && j.policy.Rank > preemptRank && !j.isLongRunning() && !m.hasLowSlack(j)
}
