package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// Quick questions come in beside ones that take a second: 19 entries of one region
// all ask, and no quick one may wait behind a long one.
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
	for _, one := range entries[:12] {
		if one.ID != c.Settings.Name {
			router.targets[one.ID] = &routeTarget{}
		}
	}
	now := c.Clock.Now()
	for range 30 {
		to := router.fastestTarget(now, longCost)
		is.True(!router.reserved.isReserved(to)) // a long question goes past the quick lane
		router.targets[to].busyUntil = endive.Latest(router.targets[to].busyUntil, now).Add(time.Duration(longCost) / 10)
	}
	router.targets[localTarget].busyUntil = now.Add(time.Duration(longCost))
	to := router.fastestTarget(now, shortCost)
	is.True(router.reserved.isReserved(to)) // a quick one goes to where no long one is
	router.targets[localTarget].busyUntil = now
	is.Equal(router.fastestTarget(now, shortCost), localTarget) // or is asked here, where nothing waits
}

func TestRoutingPenalty(t *testing.T) {
	const shortCost, longCost = endive.Interval(30 * time.Millisecond), endive.Interval(time.Second)
	tests := []struct {
		name            string
		cost            endive.Interval
		quick, far, own bool
		want            time.Duration
	}{
		{name: "quick question asked here", cost: shortCost, own: true},
		{name: "long question asked here", cost: longCost, own: true},
		{name: "long question asked here, in the quick lane", cost: longCost, own: true, quick: true, want: longOnReservedPenalty},
		{name: "quick question near", cost: shortCost, quick: true, want: localRoundTrip},
		{name: "quick question far", cost: shortCost, quick: true, far: true, want: regionRoundTrip},
		{name: "quick question where long ones go", cost: shortCost, want: localRoundTrip + shortOnSharedPenalty},
		{name: "long question where quick ones go", cost: longCost, quick: true, want: localRoundTrip + longOnReservedPenalty},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(routingPenalty(test.cost, test.quick, test.far, test.own), test.want)
		})
	}
}

// What waits here already is in the way of a question only if it is answered first.
func TestAdviceQueueDelay(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}}
	a := newAdviceQueue(c)
	a.enqueue(adviceRequest{step: "job1.0.0", cost: endive.Interval(time.Second)})
	a.enqueue(adviceRequest{step: "job2.0.0", cost: endive.Interval(20 * time.Millisecond)})
	is.Equal(a.queueDelay(endive.Interval(30*time.Millisecond)), 20*time.Millisecond)
	is.Equal(a.queueDelay(endive.Interval(2*time.Second)), 1020*time.Millisecond)
	first, ok := a.dequeue()
	is.True(ok)
	is.Equal(first.step, endive.StepID("job2.0.0"))
}
