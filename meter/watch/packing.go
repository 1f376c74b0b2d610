package watch

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Packing is the mean utilization of a pool's live workers, over the samples that were
// taken while tasks were queued.
type Packing struct {
	Pool endive.PoolName `json:"pool"`
	// QueuedSamples counts the samples taken while tasks were queued, and
	// TotalSamples counts all samples.
	QueuedSamples int `json:"samples"`
	TotalSamples  int `json:"all"`
	// Processors, Memory and Accelerators are the committed fractions, 0 to 1,
	// of the workers' size. Accelerators is 0 if the pool has no accelerators.
	Processors   float64 `json:"processors"`
	Memory       float64 `json:"memory"`
	Accelerators float64 `json:"accelerators"`
	// Max is the highest fraction of any resource in any sample, whether or not tasks
	// were queued.
	Max float64 `json:"most"`
}

// addSample adds a sample of the pool's workers, taken while tasks were queued or not.
func (p *Packing) addSample(workers map[endive.WorkerID]apiv1.Worker, queued bool) {
	var size, committed endive.Resources
	for _, w := range workers {
		if w.Pool != p.Pool || w.State != endive.MemberLive {
			continue
		}
		size, committed = size.Add(w.Size), committed.Add(w.Committed)
	}
	processors := fraction(int64(committed.Processors), int64(size.Processors))
	memory := fraction(int64(committed.Memory), int64(size.Memory))
	accelerators := fraction(int64(committed.Accelerators), int64(size.Accelerators))
	p.TotalSamples++
	p.Max = max(p.Max, processors, memory, accelerators)
	if !queued {
		return
	}
	p.QueuedSamples++
	n := float64(p.QueuedSamples)
	p.Processors += (processors - p.Processors) / n
	p.Memory += (memory - p.Memory) / n
	p.Accelerators += (accelerators - p.Accelerators) / n
}

// fraction returns part divided by whole, or 0 if whole is 0.
func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
