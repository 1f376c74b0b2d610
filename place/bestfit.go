package place

import "endiveroute.example/endive"

// Penalties in a worker's score. The rack counts more than accelerators.
const (
	rackPenalty        = 1000.0
	acceleratorPenalty = 100.0
)

// BestFit prefers the worker that has the smallest part left free in the
// dimension of which the task needs the largest part. It keeps workers with
// accelerators for tasks that need them, and spreads the tasks of a watcher
// over racks.
type BestFit struct{}

// Score implements endive.Placer.
func (BestFit) Score(task endive.PlacerTask, worker endive.PlacerWorker) float64 {
	score := 0.0
	if task.Kind == endive.KindWatcher {
		score -= rackPenalty * float64(worker.JobTasksOnRack)
	}
	if task.Need.Accelerators == 0 && worker.Size.Accelerators > 0 {
		score -= acceleratorPenalty
	}
	return score - leftoverFraction(task.Need, worker)
}

// leftoverFraction returns the part of the worker that the task leaves free, in
// the dimension of which the task needs the largest part.
func leftoverFraction(need endive.Resources, worker endive.PlacerWorker) float64 {
	left := worker.Free.Sub(need)
	dims := [...][3]float64{
		{float64(need.Accelerators), float64(left.Accelerators), float64(worker.Size.Accelerators)},
		{float64(need.Processors), float64(left.Processors), float64(worker.Size.Processors)},
		{float64(need.Memory), float64(left.Memory), float64(worker.Size.Memory)},
	}
	most, free := -1.0, 0.0
	for _, dim := range dims {
		if dim[2] > 0 && dim[0]/dim[2] > most {
			most, free = dim[0]/dim[2], dim[1]/dim[2]
		}
	}
	return free
}
