package place

import (
	"math/bits"
	"time"

	"endiveroute.example/endive"
)

// runTimeBounds are the upper bounds of the run time classes.
var runTimeBounds = [...]time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, 4 * time.Hour}

// shapeKey identifies a shape: the needs rounded up, and the class of the
// expected run time. Tasks of one shape mostly fit on the same workers.
// Rounding keeps the number of shapes from growing with the queue.
type shapeKey struct {
	need endive.Resources
	// runTimeClass is an index into runTimeBounds, or the number of bounds for
	// a run time above the last one.
	runTimeClass int
}

// shape is a group of tasks with similar needs. While it is blocked, its tasks
// of priority blockedAt and below are not tried.
type shape struct {
	key shapeKey
	// minNeed is a lower bound of the tasks' needs.
	minNeed   endive.Resources
	blocked   bool
	blockedAt endive.Priority
	// preemptFailedVersion is the machine's preemptibleVersion when preemption
	// for the shape last failed. Preemption for the shape isn't tried again
	// until the version changes.
	preemptFailedVersion uint64
}

// roundUp rounds up to a number of three significant bits, which leaves four
// steps between powers of two.
func roundUp(n int64) int64 {
	if n < 8 {
		return n
	}
	shift := bits.Len64(uint64(n)) - 3
	step := int64(1) << shift
	return (n + step - 1) / step * step
}

// shapeKeyOf returns the key of the shape of a task.
func shapeKeyOf(need endive.Resources, runTime time.Duration) shapeKey {
	key := shapeKey{need: endive.Resources{
		Processors:   endive.MilliProcessors(roundUp(int64(need.Processors))),
		Memory:       endive.Bytes(roundUp(int64(need.Memory))),
		Accelerators: endive.Accelerators(roundUp(int64(need.Accelerators))),
	}}
	for key.runTimeClass < len(runTimeBounds) && runTime > runTimeBounds[key.runTimeClass] {
		key.runTimeClass++
	}
	return key
}

// include lowers minNeed to cover another task's need.
func (s *shape) include(need endive.Resources) {
	s.minNeed = endive.Resources{
		Processors:   min(s.minNeed.Processors, need.Processors),
		Memory:       min(s.minNeed.Memory, need.Memory),
		Accelerators: min(s.minNeed.Accelerators, need.Accelerators),
	}
}

// block blocks the shape at a priority and below.
func (s *shape) block(p endive.Priority) {
	if !s.blocked || p > s.blockedAt {
		s.blocked, s.blockedAt = true, p
	}
}

// blocks reports whether the shape is blocked at a priority.
func (s *shape) blocks(p endive.Priority) bool { return s.blocked && p <= s.blockedAt }
