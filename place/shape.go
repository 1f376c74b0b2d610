package place

import (
	"math/bits"
	"time"

	"endiveroute.example/endive"
)

// Upper bounds of the run times that share a shape.
var runTimeBounds = [...]time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, 4 * time.Hour}

// shapeKey groups tasks that fit, or don't, about alike, so that the number of
// groups doesn't grow with the queue.
type shapeKey struct {
	need endive.Resources
	// runTimeClass is an index into runTimes, or their number for more.
	runTimeClass int
}

// shape is a group of tasks. While it is blocked, tasks of no higher priority
// are not tried.
type shape struct {
	key shapeKey
	// minNeed is a lower bound of the needs.
	minNeed   endive.Resources
	blocked   bool
	blockedAt endive.Priority
	// preemptFailedVersion is how many tasks had started when preempting for the shape was in
	// vain. It isn't tried again before there are others.
	preemptFailedVersion uint64
}

// roundUp keeps the highest three bits, so that there are four steps between
// powers of two.
func roundUp(n int64) int64 {
	if n < 8 {
		return n
	}
	shift := bits.Len64(uint64(n)) - 3
	step := int64(1) << shift
	return (n + step - 1) / step * step
}

// shapeKeyOf returns the shape of a task that is expected to run for a time.
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

// include corrects the lower bound of the needs in the shape.
func (s *shape) include(need endive.Resources) {
	s.minNeed = endive.Resources{
		Processors:   min(s.minNeed.Processors, need.Processors),
		Memory:       min(s.minNeed.Memory, need.Memory),
		Accelerators: min(s.minNeed.Accelerators, need.Accelerators),
	}
}

// block ends the tries of a shape at a priority and below.
func (s *shape) block(p endive.Priority) {
	if !s.blocked || p > s.blockedAt {
		s.blocked, s.blockedAt = true, p
	}
}

// blocks reports whether the shape is not tried at a priority.
func (s *shape) blocks(p endive.Priority) bool { return s.blocked && p <= s.blockedAt }
