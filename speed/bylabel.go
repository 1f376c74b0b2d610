package speed

import "endiveroute.example/endive"

// ByLabel learns the speed of workers by their labels, of which one names the worker's kind. It
// learns quickly, but doesn't see differences within a kind. It implements endive.WorkerSpeeds.
type ByLabel struct{ means map[endive.Label]*mean }

// NewByLabel returns an estimate without samples.
func NewByLabel() *ByLabel { return &ByLabel{means: make(map[endive.Label]*mean)} }

// Record implements endive.WorkerSpeeds.
func (b *ByLabel) Record(runs []endive.TimedRun) {
	frequency := make(map[endive.Label]int)
	for _, run := range runs {
		for _, label := range run.Worker.Labels {
			frequency[label]++
		}
	}
	for i, relative := range relativeTimes(runs, b.Factor) {
		for _, label := range runs[i].Worker.Labels {
			// A label that all workers of the step have can't be compared.
			if frequency[label] == len(runs) {
				continue
			}
			if b.means[label] == nil {
				b.means[label] = &mean{}
			}
			b.means[label].add(relative)
		}
	}
}

// labelPrior is the number of samples that a factor of 1 counts like.
const labelPrior = 10

// Factor implements endive.WorkerSpeeds. Of the worker's labels the most frequent one counts: the
// others name smaller groups, such as racks.
func (b *ByLabel) Factor(worker endive.FleetWorker) float64 {
	var best *mean
	for _, label := range worker.Labels {
		if m := b.means[label]; m != nil && (best == nil || m.count > best.count) {
			best = m
		}
	}
	if best == nil {
		return 1
	}
	return best.value(1, labelPrior)
}
