package flow

import "time"

// Between two regions an order and the news of an end take 30 ms each. That counts for
// steps that are over in a second: they go to workers near the holder, and long ones
// leave these to them.

const (
	// MaxShortEstimate is the estimate up to which a step is a quick one.
	MaxShortEstimate = 2 * time.Second
	// farWay is the time to a worker and back from which on it is far.
	farWay = 30 * time.Millisecond
)

// tookWay notes how long an answer took that the worker gave at once. The shortest is
// the way there and back.
func (w *worker) tookWay(took time.Duration) {
	if w.way == 0 || took < w.way {
		w.way = took
	}
}

// far reports whether a worker is in another region.
func (w *worker) far() bool { return w.way >= farWay }

// quick reports whether the way to a worker counts for a step.
func (s *step) quick() bool {
	return time.Duration(s.spec.Estimate) <= MaxShortEstimate && !s.spec.LongRunning
}

// suitsWay reports whether a worker is where a step should go.
func (s *step) suitsWay(w *worker) bool { return s.quick() != w.far() }
