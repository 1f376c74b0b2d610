package main

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive/platform/stand"
)

// newTestCutter returns the cutter of a soak with workers that are cut off already, so that cuts have no effect.
func newTestCutter(pools map[string]string) *cutter {
	s := &soak{checks: newTestChecks()}
	for id, pool := range pools {
		s.workers = append(s.workers, &worker{id: id, pool: pool, cutOff: true})
	}
	s.restarter = newRestarter(s, false, 1)
	return newCutter(s, 1)
}

func TestSeriesCutsWorkersUnderTheSameTask(t *testing.T) {
	is := is.New(t)
	c := newTestCutter(map[string]string{"i-0": mainPool, "i-1": mainPool, "b-0": bulkPool})
	c.beginSeries()
	c.runStarted(stand.Run{Worker: "b-0", Task: "aa.0.0.0", Number: 1})
	is.Equal(len(c.series), 0) // too few workers

	c.runStarted(stand.Run{Worker: "i-0", Task: "bb.0.0.0", Number: 1})
	one := c.series["bb.0.0.0"]
	is.True(one != nil)
	left := one.remaining
	is.True(left >= minSeriesCuts-1 && left < maxSeriesCuts)
	c.runStarted(stand.Run{Worker: "i-1", Task: "cc.0.0.0", Number: 1})
	is.Equal(one.remaining, left) // another task
	c.runStarted(stand.Run{Worker: "i-1", Task: "bb.0.0.0", Number: 2})
	is.Equal(one.remaining, left-1)
}

func TestSeriesAreLimitedAndStop(t *testing.T) {
	is := is.New(t)
	c := newTestCutter(map[string]string{"i-0": mainPool})
	for range maxSeries + 1 {
		c.beginSeries()
	}
	is.Equal(c.pending, maxSeries)
	c.stop()
	c.runStarted(stand.Run{Worker: "i-0", Task: "aa.0.0.0", Number: 1})
	is.Equal(len(c.series), 0)
}

func TestCutsAreVariedAndMostlyShort(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewSource(1))
	modes := make(map[mode]bool)
	var short, long int
	for range 1000 {
		cut := randomCut(r)
		is.True(cut.duration >= minCut && cut.duration <= maxCut)
		modes[cut.mode] = true
		switch {
		case cut.duration < 10*time.Second:
			short++
		case cut.duration > 25*time.Second:
			long++
		}
	}
	is.Equal(len(modes), 4) // refused, silent, one-way, late
	is.True(long > 0 && long < short)
}
