package watch

import (
	"context"
	"errors"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
)

// SamplePeriod is the time between two samples.
const SamplePeriod = 500 * time.Millisecond

// UsageReader returns the declared resources of the tasks that run on each worker, as
// the workers count them, or nil if no source is configured.
type UsageReader interface {
	Usage(ctx context.Context) (map[endive.WorkerID]endive.Resources, error)
}

// Watcher samples the workers and slices. It queries all entries, because only the holder
// of a slice knows the committed resources and queued tasks of the slice.
type Watcher struct {
	client *client.Client
	usage  UsageReader
	pools  map[endive.PoolName]*Packing
	// missedSamples counts the samples with a failed query.
	missedSamples int
	stopped       chan struct{}
	cancel        context.CancelFunc
}

// Start returns a Watcher that samples until Stop.
func Start(ctx context.Context, client *client.Client, usage UsageReader) *Watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watcher{client: client, usage: usage, pools: make(map[endive.PoolName]*Packing), stopped: make(chan struct{}), cancel: cancel}
	go w.run(ctx)
	return w
}

// Stop ends the sampling. It returns the packing of each pool, ordered by name, and the
// number of samples with a failed query.
func (w *Watcher) Stop() ([]Packing, int) {
	w.cancel()
	<-w.stopped
	packings := make([]Packing, 0, len(w.pools))
	for _, one := range w.pools {
		packings = append(packings, *one)
	}
	sort.Slice(packings, func(i, j int) bool { return packings[i].Pool < packings[j].Pool })
	return packings, w.missedSamples
}

// run takes a sample every SamplePeriod.
func (w *Watcher) run(ctx context.Context) {
	defer close(w.stopped)
	ticks := time.NewTicker(SamplePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			w.sample(ctx)
		}
	}
}

// sample queries all entries and adds a sample to each pool.
func (w *Watcher) sample(ctx context.Context) {
	current := newSnapshot()
	workers, workersErr := w.client.AllWorkers(ctx)
	current.addWorkers(workers.Workers)
	slices, slicesErr := w.client.AllSlices(ctx)
	current.addSlices(slices.Slices)
	usage, usageErr := w.usage.Usage(ctx)
	current.setUsage(usage)
	if ctx.Err() != nil {
		return
	}
	if errors.Join(workersErr, slicesErr, usageErr) != nil {
		w.missedSamples++
	}
	w.addSample(current)
}

// addSample adds the state in current to the packing of each pool.
func (w *Watcher) addSample(current snapshot) {
	for _, one := range current.workers {
		if w.pools[one.Pool] == nil {
			w.pools[one.Pool] = &Packing{Pool: one.Pool}
		}
	}
	for pool, packing := range w.pools {
		packing.addSample(current.workers, current.queued[pool])
	}
}
