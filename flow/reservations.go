package flow

import "endiveroute.example/endive"

// Waiting steps reserve capacity in the order of their ranks, so that advice is requested for
// no more tasks than there is capacity for, and smaller tasks don't use this capacity in the
// meantime.

// reservedTotals is the capacity that the last scheduling pass kept idle, for the log.
type reservedTotals struct {
	// forGangs is reserved for gangs that wait for tickets. forDraining is reserved on
	// workers that are drained for gangs. forAdvice is reserved for other steps with advice
	// requests in flight.
	forGangs, forDraining, forAdvice endive.Resources
	// deferredRequests counts the advice requests that the limit on requests in flight
	// delayed.
	deferredRequests int
}

// String formats the reservations for the log.
func (r reservedTotals) String() string {
	return r.forGangs.String() + " reserved for gangs, " + r.forDraining.String() + " on workers drained for gangs, " + r.forAdvice.String() +
		" for advice requests, " + formatInt(int64(r.deferredRequests)) + " advice requests deferred"
}

// planAdvice plans an advice request for a step with waiting tasks. Tickets are valid for
// seconds only, so in a burst advice is requested for no more work than there is capacity
// for. Capacity on workers that may be eligible for the step is reserved in the meantime;
// otherwise later steps with smaller tasks would use it while the request is in flight.
// planAdvice reports whether there is any such capacity.
func (m *Machine) planAdvice(s *step, unplaced int) bool {
	need := s.spec.Reserved()
	if !need.Fits(m.advice.freeCapacity) || !m.needsTicket(s) {
		m.advice.shortOfCapacity = true
		return false
	}
	if m.awaitsTakeover(s) {
		return true
	}
	places := m.reservePlaces(s, unplaced)
	if places == 0 {
		m.advice.shortOfCapacity = true
		return false
	}
	if s.tickets.requestInFlight(m.now) {
		// If the answer is lost, no other event may cause the next scheduling pass.
		m.schedulePass(s.tickets.requestedAt.Add(adviceTimeout))
	} else if !m.planRequest(s, min(MaxAdviceWorkers, workersPerPlace*places)) {
		return true
	}
	m.advice.freeCapacity = m.advice.freeCapacity.Sub(need.Times(int64(places)))
	return true
}

// planRequest plans an advice request for a step that names the given number of workers, and
// reports whether it did. It plans none if the step must wait before its next request, or if
// the requests in flight and planned in this pass have reached the limit.
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

// reservePlaces returns how many of the given number of tasks fit on workers that may be
// eligible for the step. Once advice for the step is known, it also reserves that capacity.
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

// mayBeEligible reports whether a worker isn't known to be ineligible for a step and may
// be used now.
func (m *Machine) mayBeEligible(s *step, w *worker) bool {
	return w.usable() && w.couldRun(s) && !m.now.Before(w.health.avoidUntil)
}

// places returns how many tasks of a step fit on a worker, including capacity that will be
// free soon.
func (w *worker) places(s *step) int {
	return w.placesIn(s, s.spec.Reserved(), w.free().Add(w.freeingSoon))
}

// placesIn returns how many waiting tasks of a step fit into the given capacity of a worker.
func (w *worker) placesIn(s *step, need, capacity endive.Resources) int {
	if !need.Fits(capacity) {
		return 0
	}
	count := s.waiting
	if s.spec.MaxPerWorker > 0 {
		count = min(count, s.spec.MaxPerWorker-s.runsPerWorker[w.id])
	}
	return capacity.FitCount(need, count)
}

// inDimensions returns, for each dimension, the pair of its amounts in the two resources.
func inDimensions(a, b endive.Resources) [3][2]int64 {
	return [3][2]int64{
		{int64(a.Processors), int64(b.Processors)},
		{int64(a.Memory), int64(b.Memory)},
		{int64(a.Accelerators), int64(b.Accelerators)},
	}
}
