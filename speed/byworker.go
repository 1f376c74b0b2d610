package speed

import "endiveroute.example/endive"

// ByWorker learns the speed of each worker; as long as there are few samples of a worker, that
// of its labels. It implements endive.WorkerSpeeds.
type ByWorker struct {
	labels *ByLabel
	means  map[endive.WorkerID]*mean
}

// NewByWorker returns an estimate without samples.
func NewByWorker() *ByWorker {
	return &ByWorker{labels: NewByLabel(), means: make(map[endive.WorkerID]*mean)}
}

// maxWorkers limits the workers that are remembered.
const maxWorkers = 10_000

// Record implements endive.WorkerSpeeds.
func (b *ByWorker) Record(runs []endive.TimedRun) {
	for i, relative := range relativeTimes(runs, b.Factor) {
		id := runs[i].Worker.ID
		if b.means[id] == nil {
			if len(b.means) >= maxWorkers {
				clear(b.means)
			}
			b.means[id] = &mean{}
		}
		b.means[id].add(relative)
	}
	b.labels.Record(runs)
}

// workerPrior is the number of samples that the factor of the labels counts like.
const workerPrior = 8

// Factor implements endive.WorkerSpeeds.
func (b *ByWorker) Factor(worker endive.FleetWorker) float64 {
	prior := b.labels.Factor(worker)
	if m := b.means[worker.ID]; m != nil {
		return m.value(prior, workerPrior)
	}
	return prior
}
