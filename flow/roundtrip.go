package flow

import "time"

// Between two regions an order and the news of an end take 30 ms each. That counts for
// steps that are over in a second: they go to workers near the holder, and long ones
// leave these to them.

const (
	// MaxShortEstimate is the estimate up to which a step is a quick one.
	MaxShortEstimate = 2 * time.Second
	// remoteRoundTrip is the time to a worker and back from which on it is far.
	remoteRoundTrip = 30 * time.Millisecond
)

// recordRoundTrip notes how long an answer took that the worker gave at once. The shortest is
// the way there and back.
func (w *worker) recordRoundTrip(duration time.Duration) {
	if w.roundTrip == 0 || duration < w.roundTrip {
		w.roundTrip = duration
	}
}

// isRemote reports whether a worker is in another region.
func (w *worker) isRemote() bool { return w.roundTrip >= remoteRoundTrip }

// isShort reports whether the way to a worker counts for a step.
func (s *step) isShort() bool {
	return time.Duration(s.spec.Estimate) <= MaxShortEstimate && !s.spec.LongRunning
}

// prefersWorker reports whether a worker is where a step should go.
func (s *step) prefersWorker(w *worker) bool { return s.isShort() != w.isRemote() }
