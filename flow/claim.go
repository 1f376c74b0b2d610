package flow

import "endiveroute.example/endive"

// Steps that wait claim room in their order, so that advice is asked for no more work
// than there is room for, and that smaller work doesn't take it meanwhile.

// claims counts what the last look kept idle, for the log.
type claims struct {
	// reserved is the room of gangs that wait for tickets, drained that of workers which
	// gangs wait for, and asked that of other steps whose questions are on their way.
	reserved, drained, asked endive.Resources
	// unplanned are the steps whose questions had to wait for others.
	unplanned int
}

// String tells the claims in a line of the log.
func (c claims) String() string {
	return c.reserved.String() + " reserved for gangs, " + c.drained.String() + " kept for them, " + c.asked.String() +
		" kept for questions, " + number(int64(c.unplanned)) + " questions not asked yet"
}

// want notes that a step of which tasks wait could use an answer of the advice
// service. It answers bursts: a ticket is good for seconds only, so questions are
// asked for no more work than there is room for. Room on workers that are known to
// be good for the step is kept for it meanwhile, or smaller tasks that come after
// it would take it while the question is on its way. It reports whether there is any
// such room.
func (m *Machine) want(s *step, waits int) bool {
	need := s.spec.Reserved()
	if !need.Fits(m.advice.room) || !m.needsTicket(s) {
		m.advice.short = true
		return false
	}
	if s.occ.job.inheritedUnseen(m) {
		return true
	}
	places := m.keepPlaces(s, waits)
	if places == 0 {
		m.advice.short = true
		return false
	}
	if s.tickets.onItsWay(m.now) {
		// If the answer is lost, nothing else may bring the next look.
		m.passAgain(s.tickets.askedAt.Add(adviceLost))
	} else if !m.plan(s, min(MaxAdviceWorkers, workersPerPlace*places)) {
		return true
	}
	m.advice.room = m.advice.room.Sub(need.Times(int64(places)))
	return true
}

// plan has a question about a step asked that names so many workers, unless those that
// are on their way or planned in this look already take as long as may be asked for at
// once. It reports whether it is.
func (m *Machine) plan(s *step, workers int) bool {
	if m.now.Before(s.tickets.askAt) {
		m.passAgain(s.tickets.askAt)
		return false
	}
	if m.advice.asking+m.advice.planned >= m.mayAsk() {
		m.claims.unplanned++
		return false
	}
	m.advice.planned += s.occ.job.policy.Advice.Cost(workers)
	m.advice.wanted = append(m.advice.wanted, s)
	return true
}

// keepPlaces sets room aside for tasks of a step on workers that may be good for it,
// and returns for how many there is room.
func (m *Machine) keepPlaces(s *step, tasks int) int {
	need := s.spec.Reserved()
	asked := len(s.tickets.bad) > 0 || len(s.tickets.good) > 0
	kept := 0
	for _, w := range m.ordered {
		if kept == tasks {
			break
		}
		if !m.mayHost(s, w) {
			continue
		}
		places := min(w.places(s), tasks-kept)
		kept += places
		if asked && places > 0 {
			w.setAside = w.setAside.Add(need.Times(int64(places)))
			m.claims.asked = m.claims.asked.Add(need.Times(int64(places)))
		}
	}
	return kept
}

// mayHost reports whether a worker could be good for a step and may be used now.
func (m *Machine) mayHost(s *step, w *worker) bool {
	return w.usable() && w.couldRun(s) && !m.now.Before(w.health.avoidUntil)
}

// places returns how many tasks of a step there is room for on a worker.
func (w *worker) places(s *step) int {
	return w.placesIn(s, s.spec.Reserved(), w.free().Add(w.soon))
}

// placesIn returns how many tasks of a step fit into a part of a worker's room.
func (w *worker) placesIn(s *step, need, room endive.Resources) int {
	count := s.waiting
	if s.spec.MaxPerWorker > 0 {
		count = min(count, s.spec.MaxPerWorker-s.perWorker[w.id])
	}
	for _, one := range inDimensions(need, room) {
		if one[0] > 0 {
			count = min(count, int(one[1]/one[0]))
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
