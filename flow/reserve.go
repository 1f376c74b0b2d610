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
	// reserveAhead is how much longer than its question room may still be in use that
	// is reserved.
	reserveAhead = 100 * time.Millisecond
	// gangPause lies between two looks for workers for a gang.
	gangPause = 50 * time.Millisecond
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

// awaitGang has a gang wait that can't start now.
func (m *Machine) awaitGang(s *step) {
	switch {
	case m.now.Before(s.gang.lookAt):
		m.gangsWaiting = m.gangsWaiting || s.gang.reserved == nil
		m.keepReserved(s)
		m.keepDrained(s)
		m.passAgain(s.gang.lookAt)
	case !m.needsTicket(s):
		m.lookLater(s)
		m.setAside(s)
	case s.occ.job.inheritedUnseen(m):
	case s.tickets.onItsWay(m.now):
		m.passAgain(s.tickets.askedAt.Add(adviceLost))
		m.keepReserved(s)
	case !s.tickets.surveyed():
		m.plan(s, m.surveySize(s))
	default:
		m.reserveGang(s)
	}
}

// lookLater puts the next look for other workers off: many gangs wait in a backlog, and
// each look goes through their workers' runs.
func (m *Machine) lookLater(s *step) { s.gang.lookAt = m.now.Add(gangPause) }

// reserveGang reserves room for all members where good workers have it, and wants fresh
// tickets for it.
func (m *Machine) reserveGang(s *step) {
	m.lookLater(s)
	s.gang.drained = nil
	s.gang.reserved = m.chooseFor(s, func(w *worker) bool { return m.foreseen(s, w) })
	if s.gang.reserved == nil {
		m.gangsWaiting = true
		m.advice.short = true
		m.setAside(s)
		if m.fewGood(s) || m.mayResurvey(s) {
			m.plan(s, m.surveySize(s))
		}
		return
	}
	if s.ticketsFor(s.gang.reserved, m.now) || m.plan(s, len(s.gang.reserved)*(1+sparesPerMember)) {
		m.keepReserved(s)
		return
	}
	s.gang.reserved = nil
}

// keepReserved keeps the reserved room from the work that comes later in the look.
func (m *Machine) keepReserved(s *step) {
	need := s.spec.Reserved()
	for _, w := range s.gang.reserved {
		w.setAside = w.setAside.Add(need)
		m.claims.reserved = m.claims.reserved.Add(need)
	}
	m.advice.room = m.advice.room.Sub(need.Times(int64(len(s.gang.reserved))))
}

// foreseen reports whether a member can probably start on a worker once there is a fresh
// ticket.
func (m *Machine) foreseen(s *step, w *worker) bool {
	if !m.couldStart(s, w) {
		return false
	}
	need, free := s.spec.Reserved(), w.free()
	if need.Fits(free) {
		return true
	}
	return need.Fits(free.Add(m.endsWithin(w, time.Duration(s.occ.job.policy.Advice.Base)+reserveAhead)))
}

// fewGood reports whether too few good workers are known for a gang, and others could be
// asked about.
func (m *Machine) fewGood(s *step) bool {
	places := 0
	need := s.spec.Reserved()
	for _, w := range m.candidates(s) {
		if w.usable() {
			places += w.placesIn(s, need, w.self.Capacity)
		}
	}
	return places < 2*len(s.tasks) && m.someUnknown(s)
}

// mayResurvey reports whether a gang that found no room may ask about more workers: while
// questions of others leave the time, and not at once after the last.
func (m *Machine) mayResurvey(s *step) bool {
	return m.someUnknown(s) && m.now.Sub(s.tickets.askedAt) > adviceRest && m.advice.asking+m.advice.planned < m.mayAsk()/2
}

// someUnknown reports whether there are workers of which nothing is known for a step.
func (m *Machine) someUnknown(s *step) bool {
	return len(s.tickets.good)+len(s.tickets.bad) < len(m.ordered)
}

// ticketsFor reports whether there are valid tickets for workers.
func (s *step) ticketsFor(workers []*worker, now time.Time) bool {
	for _, w := range workers {
		if !s.tickets.valid(w.id, now) {
			return false
		}
	}
	return true
}

// askAboutGang returns the workers to name: those that are reserved and some like them,
// or as many as possible of which nothing is known.
func (m *Machine) askAboutGang(s *step) []endive.WorkerID {
	if s.gang.reserved == nil {
		return m.survey(s)
	}
	var workers []endive.WorkerID
	named := make(map[*worker]bool)
	for _, w := range s.gang.reserved {
		if !named[w] {
			workers = append(workers, w.id)
			named[w] = true
		}
	}
	spares := sparesPerMember * len(s.gang.reserved)
	for _, w := range m.candidates(s) {
		if spares > 0 && !named[w] && m.couldStart(s, w) && w.places(s) > 0 {
			workers = append(workers, w.id)
			spares--
		}
	}
	return workers[:min(len(workers), MaxAdviceWorkers)]
}

// survey returns workers that could run a member and of which nothing is known, those
// with room first.
func (m *Machine) survey(s *step) []endive.WorkerID {
	var roomy, others []endive.WorkerID
	for _, w := range m.ordered {
		switch {
		case !w.usable() || !w.couldRun(s) || s.tickets.known(w.id):
		case w.places(s) > 0:
			roomy = append(roomy, w.id)
		default:
			others = append(others, w.id)
		}
	}
	workers := append(RotateByStep(roomy, s.id), RotateByStep(others, s.id)...)
	return workers[:min(len(workers), m.surveySize(s))]
}

// leavesEmpty reports whether a task leaves an empty worker to gangs that wait for some,
// since it has time to spare.
func (m *Machine) leavesEmpty(s *step, w *worker) bool {
	j := s.occ.job
	return m.gangsWait && len(w.runs) == 0 && j.policy.Rank > preemptRank && !j.lasts() && !m.isPressed(j)
}
