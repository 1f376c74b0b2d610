package route

import (
	"time"
)

// worthCrossRegion reports whether e should go to another region: the wait here is
// expected to be longer than the way, or nothing here can take it, and the link
// has room.
func (m *Machine) worthCrossRegion(now time.Time, e *execution) bool {
	local, remote := e.service.usable()
	if remote == 0 || local > 0 && m.localWait(e.service) <= m.crossCost() {
		return false
	}
	m.crossRegionBudget.refill(now)
	return m.crossRegionBudget.tokens >= min(m.crossBytes(e), m.crossRegionBudget.capacity)
}

// crossBytes returns the bytes that e is expected to send across and back.
func (m *Machine) crossBytes(e *execution) float64 {
	return float64(len(e.body)) + e.service.answerBytes
}

// crossCost returns the time across and back, in seconds.
func (m *Machine) crossCost() float64 {
	return time.Duration(m.settings.CrossCost).Seconds()
}

// localWait returns the expected wait, in seconds, until the requests that wait
// now have run on near executors.
func (m *Machine) localWait(s *service) float64 {
	local, _ := s.running()
	return s.waitFor(s.queue.len(), local)
}

// crossRegionDemand returns how many waiting requests are worth crossing for: those that near
// executors aren't expected to start before the way would be over.
func (m *Machine) crossRegionDemand(s *service) int {
	waiting := s.queue.len()
	if waiting == 0 {
		return 0
	}
	local, remote := s.usable()
	if remote == 0 {
		return 0
	}
	if local == 0 || s.times.mean == 0 {
		return waiting
	}
	busy, _ := s.running()
	served := int(m.crossCost() * float64(max(1, busy)) / s.times.mean)
	return max(0, waiting-served)
}
