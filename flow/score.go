package flow

import "endiveroute.example/endive"

// Weights of a worker's score. The larger ones decide first.
const (
	scoreAvoid   = 100
	scoreData    = 50
	scoreSuspect = 30
	// scoreLocality prefers local workers for short steps and remote ones for others.
	scoreLocality = 2
	// scoreSpeed is the weight of the time that a task takes longer than on a usual worker, as a
	// share of that time.
	scoreSpeed = 10
	// scorePacked prefers the worker that the task leaves with the least free capacity.
	scorePacked = 1
)

// score rates a worker for a task of a step; the highest is chosen.
func (m *Machine) score(s *step, w *worker) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.info.HasLabel(s.spec.DataRack) {
		score += scoreData
	}
	score -= scoreSuspect * w.health.suspicion(m.now)
	if s.prefersWorker(w) {
		score += scoreLocality
	}
	score += m.speedScore(s, w)
	remaining := w.free().Sub(s.spec.Reserved())
	score -= scorePacked * freeShare(remaining, w.info.Capacity)
	return score
}

// freeShare returns the remaining share of a capacity, averaged over its dimensions.
func freeShare(remaining, capacity endive.Resources) float64 {
	sum, dimensions := 0.0, 0.0
	for _, pair := range inDimensions(remaining, capacity) {
		if pair[1] > 0 {
			sum += float64(pair[0]) / float64(pair[1])
			dimensions++
		}
	}
	if dimensions == 0 {
		return 0
	}
	return sum / dimensions
}
