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
func TestQuickQuestionsDoNotWaitForLongOnes(t *testing.T) {
	is := is.New(t)
	const quickCost, longCost = endive.Interval(30 * time.Millisecond), endive.Interval(time.Second)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}}
	c.Settings.Name, c.Settings.Region = "entry-7", "north"
	h := newHelpers(c)
	var entries endive.Peers
	for i := range 19 {
		entries = append(entries, endive.Peer{ID: endive.EntryID(fmt.Sprintf("entry-%d", i)), Region: "north"})
	}
	h.lanes.assign(entries)
	for _, one := range entries[:12] {
		if one.ID != c.Settings.Name {
			h.known[one.ID] = &helper{}
		}
	}
	now := c.Clock.Now()
	for range 30 {
		to := h.soonest(now, longCost)
		is.True(!h.lanes.isQuick(to)) // a long question goes past the quick lane
		h.known[to].busyUntil = endive.Latest(h.known[to].busyUntil, now).Add(time.Duration(longCost) / 10)
	}
	h.known[self].busyUntil = now.Add(time.Duration(longCost))
	to := h.soonest(now, quickCost)
	is.True(h.lanes.isQuick(to)) // a quick one goes to where no long one is
	h.known[self].busyUntil = now
	is.Equal(h.soonest(now, quickCost), self) // or is asked here, where nothing waits
}

func TestDetour(t *testing.T) {
	const quickCost, longCost = endive.Interval(30 * time.Millisecond), endive.Interval(time.Second)
	tests := []struct {
		name            string
		cost            endive.Interval
		quick, far, own bool
		want            time.Duration
	}{
		{name: "quick question asked here", cost: quickCost, own: true},
		{name: "long question asked here", cost: longCost, own: true},
		{name: "long question asked here, in the quick lane", cost: longCost, own: true, quick: true, want: longInQuickLane},
		{name: "quick question near", cost: quickCost, quick: true, want: zoneWay},
		{name: "quick question far", cost: quickCost, quick: true, far: true, want: regionWay},
		{name: "quick question where long ones go", cost: quickCost, want: zoneWay + quickElsewhere},
		{name: "long question where quick ones go", cost: longCost, quick: true, want: zoneWay + longInQuickLane},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(detour(test.cost, test.quick, test.far, test.own), test.want)
		})
	}
}

// What waits here already is in the way of a question only if it is answered first.
func TestWaitOfAQuestion(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}}
	a := newAdviser(c)
	a.ask(question{step: "job1.0.0", cost: endive.Interval(time.Second)})
	a.ask(question{step: "job2.0.0", cost: endive.Interval(20 * time.Millisecond)})
	is.Equal(a.waitFor(endive.Interval(30*time.Millisecond)), 20*time.Millisecond)
	is.Equal(a.waitFor(endive.Interval(2*time.Second)), 1020*time.Millisecond)
	first, ok := a.next()
	is.True(ok)
	is.Equal(first.step, endive.StepID("job2.0.0"))
}
