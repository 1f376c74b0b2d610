package route

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

const (
	// otherZoneCost is the additional cost of an executor in another zone.
	otherZoneCost = endive.Interval(time.Millisecond)
	// busyCost is the additional cost for each request that this entry already
	// runs on the executor. It spreads requests over executors that are
	// otherwise equal.
	busyCost = endive.Interval(100 * time.Microsecond)
)

// LowestLatency is a Router that prefers the executor with the lowest expected
// latency, including the network. Failures raise an executor's cost.
type LowestLatency struct{}

// Choose implements endive.Router.
func (n LowestLatency) Choose(candidates endive.Candidates) (int, string) {
	best, lowest := -1, 0.0
	for i, c := range candidates {
		cost := n.cost(c)
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return -1, "no executor has a free slot"
	}
	return best, fmt.Sprintf("expected %.1f ms, the least of %d with a free slot", lowest/1e6, len(candidates))
}

// cost returns the expected latency of a request on a candidate, in
// nanoseconds, weighted by the candidate's failure rate.
func (LowestLatency) cost(c endive.Candidate) float64 {
	cost := float64(c.ServiceTime) + float64(busyCost)*float64(c.Busy)
	if c.Distance != endive.SameZone {
		cost += float64(otherZoneCost)
	}
	return cost * (1 + 4*c.FailureRate)
}
