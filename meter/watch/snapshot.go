package watch

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// snapshot is what all entries together know at one time.
type snapshot struct {
	workers map[endive.WorkerID]apiv1.Worker
	// queued says of which pools tasks wait.
	queued map[endive.PoolName]bool
}

// newSnapshot returns a known of nothing.
func newSnapshot() snapshot {
	return snapshot{workers: make(map[endive.WorkerID]apiv1.Worker), queued: make(map[endive.PoolName]bool)}
}

// addWorkers adds what is known of workers.
func (s snapshot) addWorkers(workers []apiv1.Worker) {
	for _, worker := range workers {
		s.workers[worker.ID] = worker
	}
}

// setUsage replaces what the holders know by what the workers themselves count.
func (s snapshot) setUsage(usage map[endive.WorkerID]endive.Resources) {
	for id, resources := range usage {
		if worker, ok := s.workers[id]; ok {
			worker.Committed = resources
			s.workers[id] = worker
		}
	}
}

// addSlices adds what is known of slices.
func (s snapshot) addSlices(slices []apiv1.Slice) {
	for _, slice := range slices {
		if slice.Queued > 0 {
			s.queued[slice.Pool] = true
		}
	}
}
