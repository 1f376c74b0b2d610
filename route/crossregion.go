package route

import (
	"time"
)

// worthCrossRegion reports whether a queued request should be sent to another
// region: the expected wait in this region exceeds the additional round trip,
// or no local executor is usable, and the budget for cross-region bytes
// suffices.
func (m *Machine) worthCrossRegion(now time.Time, e *execution) bool {
	local, remote := e.service.usable()
	if remote == 0 || local > 0 && m.localWait(e.service) <= m.crossCost() {
		return false
	}
	m.crossRegionBudget.refill(now)
	return m.crossRegionBudget.tokens >= min(m.crossBytes(e), m.crossRegionBudget.capacity)
}

// crossBytes returns the expected size of an execution's request and response
// bodies.
func (m *Machine) crossBytes(e *execution) float64 {
	return float64(len(e.body)) + e.service.answerBytes
}

// crossCost returns the additional round-trip time to another region, in
// seconds.
func (m *Machine) crossCost() float64 {
	return time.Duration(m.settings.CrossCost).Seconds()
}

// localWait returns the expected time, in seconds, until the queued requests
// have been served by local executors.
func (m *Machine) localWait(s *service) float64 {
	local, _ := s.running()
	return s.waitFor(s.queue.len(), local)
}

// crossRegionDemand returns how many queued requests are worth sending to
// another region: those that local executors aren't expected to start within
// the additional round-trip time.
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
