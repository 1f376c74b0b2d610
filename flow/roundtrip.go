package flow

import "time"

// Between two regions an order and the report of a run's end take 30 ms each. This delay matters
// for steps that take about a second, so short steps prefer workers in the holder's region,
// and long steps prefer remote workers.

const (
	// MaxShortEstimate is the maximum estimate of a short step.
	MaxShortEstimate = 2 * time.Second
	// remoteRoundTrip is the minimum round-trip time of a remote worker.
	remoteRoundTrip = 30 * time.Millisecond
)

// recordRoundTrip records the response time of an order that the worker answered at once. The
// shortest one is taken as the round-trip time.
func (w *worker) recordRoundTrip(duration time.Duration) {
	if w.roundTrip == 0 || duration < w.roundTrip {
		w.roundTrip = duration
	}
}

// isRemote reports whether the round-trip time shows that a worker is in another region.
func (w *worker) isRemote() bool { return w.roundTrip >= remoteRoundTrip }

// isShort reports whether a step is short enough for the round-trip time to matter.
func (s *step) isShort() bool {
	return time.Duration(s.spec.Estimate) <= MaxShortEstimate && !s.spec.LongRunning
}

// prefersWorker reports whether a worker is in the region that the step prefers.
func (s *step) prefersWorker(w *worker) bool { return s.isShort() != w.isRemote() }
