package place

import "endiveroute.example/endive"

// Spread chooses the worker that stays the emptiest.
type Spread struct{}

// Score implements endive.Placer.
func (Spread) Score(task endive.PlacerTask, worker endive.PlacerWorker) float64 {
	return leftoverFraction(task.Need, worker)
}
