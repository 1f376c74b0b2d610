package watch

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// snapshot holds the state of workers and queues at one time, as reported by all entries.
type snapshot struct {
	workers map[endive.WorkerID]apiv1.Worker
	// queued holds the pools that have queued tasks.
	queued map[endive.PoolName]bool
}

// newSnapshot returns an empty snapshot.
func newSnapshot() snapshot {
	return snapshot{workers: make(map[endive.WorkerID]apiv1.Worker), queued: make(map[endive.PoolName]bool)}
}

// addWorkers adds the reported states of workers.
func (s snapshot) addWorkers(workers []apiv1.Worker) {
	for _, worker := range workers {
		s.workers[worker.ID] = worker
	}
}

// setUsage replaces the committed resources that the holders report by those that the
// workers themselves count.
func (s snapshot) setUsage(usage map[endive.WorkerID]endive.Resources) {
	for id, resources := range usage {
		if worker, ok := s.workers[id]; ok {
			worker.Committed = resources
			s.workers[id] = worker
		}
	}
}

// addSlices adds the pools of slices that have queued tasks.
func (s snapshot) addSlices(slices []apiv1.Slice) {
	for _, slice := range slices {
		if slice.Queued > 0 {
			s.queued[slice.Pool] = true
		}
	}
}
