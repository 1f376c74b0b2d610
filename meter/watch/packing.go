package watch

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Packing is how full the live workers of a pool are, over the samples that were
// taken while tasks waited.
type Packing struct {
	Pool endive.PoolName `json:"pool"`
	// QueuedSamples counts those while tasks waited, of All.
	QueuedSamples int `json:"samples"`
	TotalSamples  int `json:"all"`
	// Shares of the committed size, 0 to 1; accelerators are 0 where the pool has
	// none.
	Processors   float64 `json:"processors"`
	Memory       float64 `json:"memory"`
	Accelerators float64 `json:"accelerators"`
	// Max is the highest share in any dimension and sample, whether or not tasks
	// waited.
	Max float64 `json:"most"`
}

// addSample adds a sample of the pool's workers.
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

// fraction returns part of whole, 0 where there is nothing.
func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
