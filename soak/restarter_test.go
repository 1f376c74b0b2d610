package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive/platform/stand"
)

// newTestRestarter returns the restarter of a soak with workers of both pools.
func newTestRestarter(enabled bool, seed int64) *restarter {
	s := &soak{checks: newTestChecks(), upgrade: newUpgrade("new", ""), mainWorkers: 4}
	for i := range 4 + 4/workersPerBulk {
		s.workers = append(s.workers, &worker{id: fmt.Sprintf("i-%d", i)})
	}
	s.restarter = newRestarter(s, enabled, seed)
	return s.restarter
}

func TestEpisodesAreVaried(t *testing.T) {
	is := is.New(t)
	r := newTestRestarter(true, 1)
	modes, holders, sizes, late, atOnce := make(map[mode]int), make(map[holderFaultKind]int), make(map[int]int), 0, 0
	faults := make(map[int]int)
	for range 1000 {
		e := r.draw()
		is.Equal(len(e.away), len(e.workers))
		for _, away := range e.away {
			is.True(away >= 0 && away < maxAway)
		}
		is.True(e.cutAfter >= 0 && e.cutAfter < maxRecut)
		if e.cutAfter < 100*time.Millisecond {
			atOnce++
		}
		is.True(e.cut.duration >= minRecutTime && e.cut.duration <= maxRecutTime)
		is.True(e.cut.mode != modeForward || !e.cut.listed) // each cut has an effect
		modes[e.cut.mode]++
		faults[len(e.holders)]++
		for _, fault := range e.holders {
			is.Equal(fault.program, "new")
			is.True(fault.after >= 0 && fault.after < maxHolderDelay)
			is.True(fault.stopped >= 0 && fault.stopped < maxHolderStop)
			holders[fault.kind]++
		}
		sizes[len(e.workers)]++
		if e.lateShare > 0 {
			late++
		}
	}
	is.Equal(len(modes), 5)            // refused, silent, one-way, late, from the store alone
	is.Equal(len(holders), 3)          // killed, replaced, stopped
	is.Equal(len(faults), 4)           // none, or up to three in the same seconds
	is.True(atOnce > 10)               // some cuts follow the restart at once
	is.True(sizes[2] > 0)              // a half of the main pool
	is.Equal(sizes[1]+sizes[2], 1000)  // or one worker
	is.True(late > 500 && late < 1000) // with late calls or without
}

func TestLongestTasksOnlyWithRestarts(t *testing.T) {
	is := is.New(t)
	r, former := newTestRestarter(true, 1), newTestRestarter(false, 1)
	longest := 0
	for i := range 100 {
		task := fmt.Sprintf("%016x.0.0.0", i)
		if r.runTime(task) == longestTaskDuration {
			longest++
			is.Equal(former.runTime(task), taskDuration)
			continue
		}
		is.Equal(former.runTime(task), r.runTime(task))
	}
	is.True(longest > 0)
}

// runsOfTwoIncarnations returns the runs of one order on two incarnations of a worker.
func runsOfTwoIncarnations() (first, second stand.Run) {
	first, second = testRun("i-0", 1, 0), testRun("i-0", 1, 1)
	second.Born = first.Born.Add(time.Second)
	return first, second
}

func TestRunsOfSameNumberInTwoIncarnations(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	first, second := runsOfTwoIncarnations()
	c.startAndEnd(first, "done")
	c.markEndsLost([]stand.Run{first})
	c.startAndEnd(second, "done")
	is.Equal(len(c.findings()), 0)
	c.markEndsLost([]stand.Run{first})

	c.RunStarted(testRun("i-1", 2, 2))

	is.Equal(len(c.findings()), 1) // the end of the second incarnation isn't lost
}

func TestRunOfFormerIncarnationAtTheSameTime(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	first, second := runsOfTwoIncarnations()
	c.startAndEnd(first, "died")
	c.RunStarted(second) // a late order
	is.Equal(len(c.findings()), 0)

	c.RunStarted(testRun("i-1", 2, 2))

	is.Equal(len(c.findings()), 1)
	is.True(strings.Contains(c.findings()[0], "TWICE"))
}

func TestLateStartAfterAcknowledgedEndOfFormerIncarnation(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	first, second := runsOfTwoIncarnations()
	c.startAndEnd(first, "done")
	c.EndsAcknowledged([]stand.Run{first}, false)
	c.markEndsLost(nil) // killed after the acknowledgement

	c.RunStarted(second)

	is.Equal(len(c.findings()), 1)
	is.True(strings.HasSuffix(c.findings()[0], "(acknowledged)"))
}

// strayRun returns the run of an order that a later incarnation carries out before any other call has reached it.
func strayRun(former stand.Run) stand.Run {
	former.Born, former.Stray = former.Born.Add(time.Second), true
	return former
}

func TestStrayDuplicateOfOrderIsNoFinding(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	first := testRun("i-0", 1, 0)
	c.startAndEnd(first, "done")
	c.EndsAcknowledged([]stand.Run{first}, false)
	c.jobCompleted(jobOf(testTask))
	stray := strayRun(first)
	stray.Started = stray.Started.Add(time.Minute)

	c.RunStarted(stray)

	is.Equal(len(c.findings()), 0)
	is.Equal(len(c.strayStarts()), 2)
}

func TestOtherStrayStartsAreFindings(t *testing.T) {
	for name, before := range map[string]func(c *checks, former stand.Run){
		"the task has ended elsewhere": func(c *checks, _ stand.Run) {
			c.startAndEnd(testRun("i-1", 2, 0), "done")
		},
		"the order was carried out, and the task has ended elsewhere": func(c *checks, former stand.Run) {
			c.startAndEnd(former, "died")
			c.startAndEnd(testRun("i-1", 2, 0), "done")
		},
		"the order was carried out, and the task runs elsewhere": func(c *checks, former stand.Run) {
			c.startAndEnd(former, "died")
			c.RunStarted(testRun("i-1", 2, 0))
		},
	} {
		is := is.New(t)
		c := newTestChecks()
		former := testRun("i-0", 1, 0)
		before(c, former)
		c.RunStarted(strayRun(former))
		is.Equal(len(c.findings()), 1) // name
		is.True(strings.Contains(c.findings()[0], testTask+" run 1 on i-0 (by a stray order)"))
		is.True(name != "")
	}
}

func TestStartAfterEndThatOnlyStrayPollAcknowledged(t *testing.T) {
	for _, stray := range []bool{true, false} {
		is := is.New(t)
		c := newTestChecks()
		first := testRun("i-0", 1, 0)
		c.startAndEnd(first, "done")
		c.EndsAcknowledged([]stand.Run{first}, stray)
		c.RunStarted(testRun("i-1", 2, 1))
		is.Equal(len(c.strayStarts()) == 1, stray)
		is.Equal(len(c.findings()) == 1, !stray)
	}
}
