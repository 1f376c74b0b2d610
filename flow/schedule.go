package flow

import (
	"time"

	"endiveroute.example/endive"
)

// schedule runs a scheduling pass if one is due: it starts all tasks that can start.
func (m *Machine) schedule() {
	if !m.scheduledPassAt.IsZero() && !m.now.Before(m.scheduledPassAt) {
		m.passDue = true
		m.scheduledPassAt = time.Time{}
	}
	if !m.passDue || !m.mayStart() || m.now.Before(m.earliestPassAt) {
		return
	}
	m.passDue = false
	m.scheduledPassAt = time.Time{}
	m.earliestPassAt = m.now.Add(minPassInterval + time.Duration(m.activeOccurrences())*passIntervalPerOccurrence)
	m.advice.steps, m.advice.plannedCost = m.advice.steps[:0], 0
	m.advice.freeCapacity = endive.Resources{}
	m.advice.shortOfCapacity = false
	m.prevLowSlack, m.lowSlack = m.lowSlack, false
	m.prevGangsWaiting, m.gangsWaiting = m.gangsWaiting, false
	m.gangDrains, m.maxGangDrains = 0, m.maxDrains()
	m.unplacedUrgent = m.unplacedUrgent[:0]
	m.reservedTotals = reservedTotals{}
	m.unfitNeeds = m.unfitNeeds[:0]
	for _, w := range m.sortedWorkers {
		if w.usable() {
			w.freeingSoon = m.freedWithin(w, freeingHorizon)
			m.advice.freeCapacity = m.advice.freeCapacity.Add(w.freeSoon())
		}
	}
	m.releaseIsolated()
	m.quotas.beginPass()
	m.waitLog.beginPass(m.now)
	m.countPossibleRuns()
	for _, j := range m.rankedJobs() {
		for _, occ := range j.active {
			m.placeOccurrence(occ)
		}
	}
	m.preempt()
	m.status.updateSaturation(m.advice.shortOfCapacity, m.now)
	// Reservations apply to one pass only. Otherwise they would keep a gang from
	// requesting advice about the workers that it waits for.
	for _, w := range m.sortedWorkers {
		w.reserved = endive.Resources{}
	}
}

// activeOccurrences returns the number of occurrences that a scheduling pass considers.
func (m *Machine) activeOccurrences() int {
	count := 0
	for _, j := range m.jobs {
		count += max(1, len(j.active))
	}
	return count
}

// freedWithin returns the capacity that runs on a worker will probably free within the
// horizon. Tickets for it are requested ahead of time; otherwise it would be idle until
// the answer arrives.
func (m *Machine) freedWithin(w *worker, horizon time.Duration) endive.Resources {
	var freed endive.Resources
	for _, r := range w.runs {
		if r.task != nil && r.state == runRunning && !r.task.step.spec.LongRunning && m.runRemaining(r) < horizon {
			freed = freed.Add(r.need)
		}
	}
	return freed
}

// schedulePass requests another scheduling pass at the given time.
func (m *Machine) schedulePass(at time.Time) {
	m.scheduledPassAt = endive.Earliest(m.scheduledPassAt, at)
}

func (m *Machine) placeOccurrence(occ *occurrence) {
	for _, s := range occ.steps {
		if s.unrecorded == 0 || s.waiting == 0 {
			continue
		}
		allowed := m.allowedStarts(s, s.waiting)
		if !s.ready() {
			if allowed > 0 {
				m.requestAdviceEarly(s)
			}
			continue
		}
		if allowed == 0 {
			m.holdBack(s, s.waiting)
			continue
		}
		if m.awaitsTakeover(s) {
			m.surveyDuringTakeover(s)
		}
		if s.spec.Gang {
			m.placeGang(s)
		} else {
			m.placeTasks(s, allowed)
		}
	}
}

// placement counts the tasks of a step that a scheduling pass has started or left waiting.
type placement struct {
	started int
	// unplaced tasks found no worker, isolating ones wait to start alone on one, and heldBack ones
	// for the account's allowance.
	unplaced, isolating, heldBack int
}

// placeTasks starts the waiting tasks of a step for which there is free capacity, up to the
// number that the account's allowance permits.
func (m *Machine) placeTasks(s *step, allowed int) {
	var p placement
	var suitable []*worker
	if m.mightFit(s) {
		suitable = m.suitableWorkers(s)
	}
	for _, t := range s.tasks {
		if !m.startable(t) {
			continue
		}
		if p.unplaced+p.isolating >= allowed {
			p.heldBack++
			continue
		}
		w, isolating := m.chooseWorkerFor(s, t, suitable)
		switch {
		case w != nil:
			allowed--
			p.started++
			m.startRun(t, w, m.nextRun(t), m.placeReason(s, w))
			m.advice.freeCapacity = m.advice.freeCapacity.Sub(s.spec.Reserved())
		case isolating:
			p.isolating++
		default:
			p.unplaced++
		}
	}
	m.handleWaiting(s, p)
	if p.heldBack > 0 {
		m.holdBack(s, p.heldBack)
	} else {
		s.heldBack = false
	}
}

// handleWaiting plans advice for the tasks of a step that found no worker, or lets them preempt
// others.
func (m *Machine) handleWaiting(s *step, p placement) {
	if p.started > 0 {
		s.restartWait()
	}
	switch {
	case p.unplaced > 0:
		m.updateLowSlack(s.occ.job)
		m.countWaiting(s, p.unplaced)
		reason := waitsForCapacity
		if m.planAdvice(s, p.unplaced) {
			reason = m.adviceWaitReason(s)
		} else {
			m.addUnplaced(s, p.unplaced)
		}
		m.waits(s, p.unplaced, reason)
		m.waitLog.position++
	case p.isolating > 0:
		m.countWaiting(s, p.isolating)
		m.waits(s, p.isolating, waitsForIsolation)
	case s.waiting > 0 && p.started == 0:
		m.waits(s, s.waiting, waitsToRetry)
	}
}

// mightFit is a cheap check that rules out most steps in a backlog: it reports whether a task
// of the step might fit on some worker with a valid ticket.
func (m *Machine) mightFit(s *step) bool {
	need := s.spec.Reserved()
	if !need.Fits(m.advice.freeCapacity) || m.unfitNeeds.cover(need) {
		return false
	}
	return !m.needsTicket(s) || m.now.Add(ticketMargin).Before(s.tickets.latestExpiry)
}

// suitableWorkers returns the workers on which a task of the step may start.
func (m *Machine) suitableWorkers(s *step) []*worker {
	var suitable []*worker
	need, fitsAnywhere := s.spec.Reserved(), false
	for _, w := range m.sortedWorkers {
		if !w.usable() || !need.Fits(w.free()) {
			continue
		}
		fitsAnywhere = true
		if m.meetsConstraints(s, w) && m.hasTicket(s, w) {
			suitable = append(suitable, w)
		}
	}
	if !fitsAnywhere {
		m.unfitNeeds.add(need)
	}
	return suitable
}

// startable reports whether a task can start as soon as there is free capacity.
func (m *Machine) startable(t *task) bool {
	if t.state != taskWaiting || t.run != nil || t.orphans > 0 {
		return false
	}
	if t.notBefore.After(m.now) {
		m.schedulePass(t.notBefore)
		return false
	}
	if m.awaitsLateStart(t) || m.mayBeHidden(t) || !m.settlePendingRun(t) || m.awaitsProof(t) {
		return false
	}
	m.judgeBeforeStart(t)
	j := t.step.occ.job
	return !t.crashes.unrecorded && !j.state.Ended() && j.rowStatus != rowAside
}

// chooseWorkerFor returns the worker on which a task is to start, or nil. isolating is true if the
// task waits to start alone on one.
func (m *Machine) chooseWorkerFor(s *step, t *task, suitable []*worker) (chosen *worker, isolating bool) {
	if t.crashes.suspected() {
		return m.chooseIsolated(s, t, suitable)
	}
	return m.chooseWorker(s, t, suitable), false
}

// chooseWorker returns the suitable worker with the highest score for a task, or nil.
func (m *Machine) chooseWorker(s *step, t *task, suitable []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range suitable {
		if !m.fits(s, w) || m.yieldsToGang(s, w) {
			continue
		}
		score := m.score(s, w)
		if t.avoidWorker == w.id {
			score -= scoreAvoid
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// fits reports whether a task of a step may start on a worker now.
func (m *Machine) fits(s *step, w *worker) bool {
	return s.spec.Reserved().Fits(w.free()) && m.meetsConstraints(s, w) && m.hasTicket(s, w)
}

// hasTicket reports whether a step has a ticket that a worker will accept, or needs none.
func (m *Machine) hasTicket(s *step, w *worker) bool {
	return !m.needsTicket(s) || s.tickets.valid(w.id, m.now)
}

// meetsConstraints reports whether a task of a step may start on a worker as soon as there
// are free capacity and a ticket.
func (m *Machine) meetsConstraints(s *step, w *worker) bool {
	if !w.usable() || w.isolation.active() || !m.rosterAllowsStarts(w) || m.now.Before(w.health.avoidUntil) {
		return false
	}
	if s.spec.Label != "" && !w.info.HasLabel(s.spec.Label) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.runsPerWorker[w.id] >= s.spec.MaxPerWorker {
		return false
	}
	return !(s.spec.Opportunistic && w.serving > 0 || s.spec.Serves() && w.opportunistic > 0)
}

func (m *Machine) placeReason(s *step, w *worker) string {
	j := s.occ.job
	return "tier " + formatInt(int64(j.rank.tier)) + ", " + formatInt(int64(s.waiting)) + " tasks of the step waiting, " +
		w.free().String() + " free, " + m.now.Sub(j.accepted).Round(time.Millisecond).String() + " after acceptance"
}
