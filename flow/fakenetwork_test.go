package flow

import "time"

// terminate ends the worker's process. Its runs end without a report.
func (f *fakeWorker) terminate() {
	f.goDown()
	f.unlisted = true
	f.sim.publishWorkers()
}

// latency returns the one-way latency to the worker.
func (f *fakeWorker) latency() time.Duration {
	if f != nil && f.slowLink > 0 {
		return f.slowLink
	}
	if f != nil && f.remote {
		return 30 * time.Millisecond
	}
	return 3 * time.Millisecond
}

// unreachableBy reports whether a holder can't reach the worker.
func (f *fakeWorker) unreachableBy(h *holder) bool {
	return f.unreachableFrom > 0 && h.epoch >= f.unreachableFrom || h.epoch < f.unreachableBefore
}
