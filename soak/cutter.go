package main

import (
	"math/rand"
	"sync"
	"time"

	"endiveroute.example/endive/platform/stand"
)

const (
	// minSeriesCuts and maxSeriesCuts bound the number of workers that are cut off under the same task.
	minSeriesCuts, maxSeriesCuts = 2, 5
	// maxSeries is the number of series at the same time, so that enough workers are left to start the tasks.
	maxSeries = 2
	// seriesTimeout is how long after its last cut a series with cuts left counts for maxSeries.
	seriesTimeout = 15 * time.Second
	// minSeriesCut and maxSeriesCut bound a cut of a series. Each lasts beyond the next start of the task, which
	// is possible when the lease of the last run has ended.
	minSeriesCut, maxSeriesCut = 15 * time.Second, 35 * time.Second
	// maxEarlyCutDelay and maxLateCutDelay bound the time between a start and the cut.
	maxEarlyCutDelay, maxLateCutDelay = 50 * time.Millisecond, 2 * time.Second
)

// cutter cuts off workers that have just started a task, one after the other under the same task.
type cutter struct {
	soak *soak

	mu   sync.Mutex
	rand *rand.Rand
	// pending is the number of series that begin with the next starts.
	pending int
	series  map[string]*series
	stopped bool
}

// series is the series of cuts under one task.
type series struct {
	remaining int
	lastCut   time.Time
}

func newCutter(s *soak, seed int64) *cutter {
	return &cutter{soak: s, rand: rand.New(rand.NewSource(seed)), series: make(map[string]*series)}
}

// beginSeries makes the next task of the main pool that starts the one of a series of cuts, unless there are
// enough series.
func (c *cutter) beginSeries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.pending
	for _, one := range c.series {
		if one.remaining > 0 && time.Since(one.lastCut) < seriesTimeout {
			active++
		}
	}
	if active < maxSeries {
		c.pending++
	}
}

// stop ends all series; the cuts go on.
func (c *cutter) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// runStarted cuts off the worker of a run if its task has a series.
func (c *cutter) runStarted(run stand.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	w := c.soak.worker(run.Worker)
	one := c.series[run.Task]
	if one == nil && c.pending > 0 && w.pool == mainPool {
		c.pending--
		one = &series{remaining: minSeriesCuts + c.rand.Intn(maxSeriesCuts-minSeriesCuts+1)}
		c.series[run.Task] = one
	}
	if one == nil || one.remaining == 0 {
		return
	}
	one.remaining--
	one.lastCut = time.Now()
	c.soak.checks.events.add("%s: %d cuts remain under it", run.Task, one.remaining)
	cut := randomCut(c.rand)
	cut.duration = minSeriesCut + time.Duration(c.rand.Int63n(int64(maxSeriesCut-minSeriesCut)))
	delay := time.Duration(c.rand.Int63n(int64(maxEarlyCutDelay)))
	// A short task would be done before a late cut, and its series over.
	if late := c.rand.Intn(4) == 0; late && c.soak.restarter.runTime(run.Task) > maxLateCutDelay {
		delay = time.Duration(c.rand.Int63n(int64(maxLateCutDelay)))
	}
	go (&faultEnd{after: delay, revert: func() { c.soak.cutOff(w, cut) }}).run()
}
