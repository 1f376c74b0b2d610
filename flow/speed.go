package flow

import "math"

// Pools have machines of several kinds, some of them slower. A step ends with its last task, so
// one slow worker delays all of it. Short steps, for which clients wait, and gangs prefer fast
// workers. In a pool that is full of both, work with slack leaves these workers to them.

// minSpeedDifference is the difference from a usual worker's speed below which a worker counts as
// usual: the run times of like tasks differ by as much, and packing matters more.
const minSpeedDifference = 0.08

// speedScore rates a worker's speed for a step.
func (m *Machine) speedScore(s *step, w *worker) float64 {
	slower := m.speeds.Factor(w.info) - 1
	if math.Abs(slower) < minSpeedDifference {
		return 0
	}
	if m.wantsFastWorkers(s) {
		return -scoreSpeed * slower
	}
	return scoreSpeed * slower
}

// wantsFastWorkers reports whether a step prefers fast workers.
func (m *Machine) wantsFastWorkers(s *step) bool {
	return s.isShort() || s.spec.Gang || m.hasLowSlack(s.occ.job)
}
