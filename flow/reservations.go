package flow

import "endiveroute.example/endive"

// Steps that wait claim room in their order, so that advice is asked for no more work
// than there is room for, and that smaller work doesn't take it meanwhile.

// reservedTotals counts what the last look kept idle, for the log.
type reservedTotals struct {
	// forGangs is the room of gangs that wait for tickets, forDraining that of workers which
	// gangs wait for, and forAdvice that of other steps whose questions are on their way.
	forGangs, forDraining, forAdvice endive.Resources
	// deferredRequests are the steps whose questions had to wait for others.
	deferredRequests int
}

// String tells the claims in a line of the log.
func (c reservedTotals) String() string {
	return c.forGangs.String() + " reserved for gangs, " + c.forDraining.String() + " kept for them, " + c.forAdvice.String() +
		" kept for questions, " + formatInt(int64(c.deferredRequests)) + " questions not asked yet"
}

// planAdvice notes that a step of which tasks wait could use an answer of the advice
// service. It answers bursts: a ticket is good for seconds only, so questions are
// asked for no more work than there is room for. Room on workers that are known to
// be good for the step is kept for it meanwhile, or smaller tasks that come after
// it would take it while the question is on its way. It reports whether there is any
// such room.
func (m *Machine) planAdvice(s *step, unplaced int) bool {
	need := s.spec.Reserved()
	if !need.Fits(m.advice.freeCapacity) || !m.needsTicket(s) {
		m.advice.shortOfCapacity = true
		return false
	}
	if s.occ.job.awaitsTakeover(m) {
		return true
	}
	places := m.reservePlaces(s, unplaced)
	if places == 0 {
		m.advice.shortOfCapacity = true
		return false
	}
	if s.tickets.requestInFlight(m.now) {
		// If the answer is lost, nothing else may bring the next look.
		m.schedulePass(s.tickets.requestedAt.Add(adviceTimeout))
	} else if !m.planRequest(s, min(MaxAdviceWorkers, workersPerPlace*places)) {
		return true
	}
	m.advice.freeCapacity = m.advice.freeCapacity.Sub(need.Times(int64(places)))
	return true
}

// planRequest has a question about a step asked that names so many workers, unless those that
// are on their way or planned in this look already take as long as may be asked for at
// once. It reports whether it is.
func (m *Machine) planRequest(s *step, workers int) bool {
	if m.now.Before(s.tickets.requestAfter) {
		m.schedulePass(s.tickets.requestAfter)
		return false
	}
	if m.advice.inFlightCost+m.advice.plannedCost >= m.maxInFlightCost() {
		m.reservedTotals.deferredRequests++
		return false
	}
	m.advice.plannedCost += s.occ.job.policy.Advice.Cost(workers)
	m.advice.steps = append(m.advice.steps, s)
	return true
}

// reservePlaces sets room aside for tasks of a step on workers that may be good for it,
// and returns for how many there is room.
func (m *Machine) reservePlaces(s *step, tasks int) int {
	need := s.spec.Reserved()
	surveyed := len(s.tickets.ineligible) > 0 || len(s.tickets.eligible) > 0
	reserved := 0
	for _, w := range m.sortedWorkers {
		if reserved == tasks {
			break
		}
		if !m.mayBeEligible(s, w) {
			continue
		}
		places := min(w.places(s), tasks-reserved)
		reserved += places
		if surveyed && places > 0 {
			w.reserved = w.reserved.Add(need.Times(int64(places)))
			m.reservedTotals.forAdvice = m.reservedTotals.forAdvice.Add(need.Times(int64(places)))
		}
	}
	return reserved
}

// mayBeEligible reports whether a worker could be good for a step and may be used now.
func (m *Machine) mayBeEligible(s *step, w *worker) bool {
	return w.usable() && w.couldRun(s) && !m.now.Before(w.health.avoidUntil)
}

// places returns how many tasks of a step there is room for on a worker.
func (w *worker) places(s *step) int {
	return w.placesIn(s, s.spec.Reserved(), w.free().Add(w.freeingSoon))
}

// placesIn returns how many tasks of a step fit into a part of a worker's room.
func (w *worker) placesIn(s *step, need, capacity endive.Resources) int {
	count := s.waiting
	if s.spec.MaxPerWorker > 0 {
		count = min(count, s.spec.MaxPerWorker-s.runsPerWorker[w.id])
	}
	for _, pair := range inDimensions(need, capacity) {
		if pair[0] > 0 {
			count = min(count, int(pair[1]/pair[0]))
		}
	}
	return max(0, count)
}

// inDimensions pairs what two amounts are in each dimension.
func inDimensions(a, b endive.Resources) [3][2]int64 {
	return [3][2]int64{
		{int64(a.Processors), int64(b.Processors)},
		{int64(a.Memory), int64(b.Memory)},
		{int64(a.Accelerators), int64(b.Accelerators)},
	}
}
