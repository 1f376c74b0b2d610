package place

import "endiveroute.example/endive"

// Spread takes the emptiest worker.
type Spread struct{}

// Score implements endive.Placer.
func (Spread) Score(task endive.PlacerTask, worker endive.PlacerWorker) float64 {
	return leftoverFraction(task.Need, worker)
}
