package watch

import (
	"context"
	"errors"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
)

// SamplePeriod lies between two samples.
const SamplePeriod = 500 * time.Millisecond

// UsageReader tells what the tasks on each worker have declared, as the workers count
// it. It returns nil where that can't be known.
type UsageReader interface {
	Usage(ctx context.Context) (map[endive.WorkerID]endive.Resources, error)
}

// Watcher samples the workers and slices. Only the holder of a slice knows what
// is committed and waits there, so that it asks all entries.
type Watcher struct {
	client *client.Client
	usage  UsageReader
	pools  map[endive.PoolName]*Packing
	// missedSamples counts the samples that couldn't be taken.
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

// Stop ends the sampling. It returns the packing of each pool by name, and how
// many samples couldn't be taken.
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

// run takes a sample each period.
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

// sample adds a sample to each pool.
func (w *Watcher) sample(ctx context.Context) {
	current := newSnapshot()
	workers, workersErr := w.client.WorkersEverywhere(ctx)
	current.addWorkers(workers.Workers)
	slices, slicesErr := w.client.SlicesEverywhere(ctx)
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

// addSample adds a sample of what is known to each pool.
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
