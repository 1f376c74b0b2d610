package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// 19 entries of one region send short requests and ones that take a second. No short request
// may be queued behind a long one.
func TestShortAdviceRequestsAvoidLongOnes(t *testing.T) {
	is := is.New(t)
	const shortCost, longCost = endive.Interval(30 * time.Millisecond), endive.Interval(time.Second)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}}
	c.Settings.Name, c.Settings.Region = "entry-7", "north"
	router := newAdviceRouter(c)
	var entries endive.Peers
	for i := range 19 {
		entries = append(entries, endive.Peer{ID: endive.EntryID(fmt.Sprintf("entry-%d", i)), Region: "north"})
	}
	router.reserved.assign(entries)
	for _, entry := range entries[:12] {
		if entry.ID != c.Settings.Name {
			router.targets[entry.ID] = &routeTarget{}
		}
	}
	now := c.Clock.Now()
	for range 30 {
		to := router.fastestTarget(now, longCost)
		is.True(!router.reserved.isReserved(to)) // long requests avoid the reserved entries
		router.targets[to].busyUntil = endive.Latest(router.targets[to].busyUntil, now).Add(time.Duration(longCost) / 10)
	}
	router.targets[localTarget].busyUntil = now.Add(time.Duration(longCost))
	to := router.fastestTarget(now, shortCost)
	is.True(router.reserved.isReserved(to)) // a short request goes to a reserved entry
	router.targets[localTarget].busyUntil = now
	is.Equal(router.fastestTarget(now, shortCost), localTarget) // or is sent by this entry if its queue is empty
}

func TestRoutingPenalty(t *testing.T) {
	const shortCost, longCost = endive.Interval(30 * time.Millisecond), endive.Interval(time.Second)
	tests := []struct {
		name                         string
		cost                         endive.Interval
		reserved, otherRegion, local bool
		want                         time.Duration
	}{
		{name: "short request, this entry", cost: shortCost, local: true},
		{name: "long request, this entry", cost: longCost, local: true},
		{name: "long request, this entry is reserved", cost: longCost, local: true, reserved: true, want: longOnReservedPenalty},
		{name: "short request, reserved entry of this region", cost: shortCost, reserved: true, want: localRoundTrip},
		{name: "short request, reserved entry of another region", cost: shortCost, reserved: true, otherRegion: true, want: regionRoundTrip},
		{name: "short request, entry that isn't reserved", cost: shortCost, want: localRoundTrip + shortOnSharedPenalty},
		{name: "long request, reserved entry", cost: longCost, reserved: true, want: localRoundTrip + longOnReservedPenalty},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(routingPenalty(test.cost, test.reserved, test.otherRegion, test.local), test.want)
		})
	}
}

// The queue delay of a request must count only the queued requests that are processed before
// it.
func TestAdviceQueueDelay(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}}
	queue := newAdviceQueue(c)
	queue.enqueue(adviceRequest{step: "job1.0.0", cost: endive.Interval(time.Second)})
	queue.enqueue(adviceRequest{step: "job2.0.0", cost: endive.Interval(20 * time.Millisecond)})
	is.Equal(queue.queueDelay(endive.Interval(30*time.Millisecond)), 20*time.Millisecond)
	is.Equal(queue.queueDelay(endive.Interval(2*time.Second)), 1020*time.Millisecond)
	first, ok := queue.dequeue()
	is.True(ok)
	is.Equal(first.step, endive.StepID("job2.0.0"))
}
