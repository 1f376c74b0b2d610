package watch

import (
	"context"
	"errors"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
)

// Period lies between two samples.
const Period = 500 * time.Millisecond

// Usage tells what the tasks on each worker have declared, as the workers count
// it. It returns nil where that can't be known.
type Usage interface {
	Used(ctx context.Context) (map[endive.WorkerID]endive.Resources, error)
}

// Watcher samples the workers and slices. Only the holder of a slice knows what
// is committed and waits there, so that it asks all entries.
type Watcher struct {
	client *client.Client
	usage  Usage
	pools  map[endive.PoolName]*Packing
	// failed counts the samples that couldn't be taken.
	failed int
	ended  chan struct{}
	cancel context.CancelFunc
}

// Start returns a Watcher that samples until Stop.
func Start(ctx context.Context, client *client.Client, usage Usage) *Watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watcher{client: client, usage: usage, pools: make(map[endive.PoolName]*Packing), ended: make(chan struct{}), cancel: cancel}
	go w.run(ctx)
	return w
}

// Stop ends the sampling. It returns the packing of each pool by name, and how
// many samples couldn't be taken.
func (w *Watcher) Stop() ([]Packing, int) {
	w.cancel()
	<-w.ended
	packings := make([]Packing, 0, len(w.pools))
	for _, one := range w.pools {
		packings = append(packings, *one)
	}
	sort.Slice(packings, func(i, j int) bool { return packings[i].Pool < packings[j].Pool })
	return packings, w.failed
}

// run takes a sample each period.
func (w *Watcher) run(ctx context.Context) {
	defer close(w.ended)
	ticks := time.NewTicker(Period)
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
	known := newKnown()
	workers, workersErr := w.client.AllWorkers(ctx)
	known.addWorkers(workers.Workers)
	slices, slicesErr := w.client.AllSlices(ctx)
	known.addSlices(slices.Slices)
	used, usedErr := w.usage.Used(ctx)
	known.addUsed(used)
	if ctx.Err() != nil {
		return
	}
	if errors.Join(workersErr, slicesErr, usedErr) != nil {
		w.failed++
	}
	w.add(known)
}

// add adds a sample of what is known to each pool.
func (w *Watcher) add(known known) {
	for _, one := range known.workers {
		if w.pools[one.Pool] == nil {
			w.pools[one.Pool] = &Packing{Pool: one.Pool}
		}
	}
	for pool, packing := range w.pools {
		packing.add(known.workers, known.waiting[pool])
	}
}
