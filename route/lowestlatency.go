package route

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

const (
	// otherZoneCost is what an executor in another zone is worse by.
	otherZoneCost = endive.Interval(time.Millisecond)
	// busyCost is what each request that this entry runs on an executor counts
	// for, so that equal executors take turns.
	busyCost = endive.Interval(100 * time.Microsecond)
)

// LowestLatency is a Router that prefers the executor with the shortest expected time,
// the way to it included. An executor that fails often counts as slow.
type LowestLatency struct{}

// Choose implements endive.Router.
func (n LowestLatency) Choose(candidates endive.Candidates) (int, string) {
	best, least := -1, 0.0
	for i, c := range candidates {
		cost := n.cost(c)
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return -1, "no executor has a free slot"
	}
	return best, fmt.Sprintf("expected %.1f ms, the least of %d with a free slot", least/1e6, len(candidates))
}

// cost returns the expected time on c in nanoseconds.
func (LowestLatency) cost(c endive.Candidate) float64 {
	cost := float64(c.ServiceTime) + float64(busyCost)*float64(c.Busy)
	if c.Distance != endive.SameZone {
		cost += float64(otherZoneCost)
	}
	return cost * (1 + 4*c.FailureRate)
}
