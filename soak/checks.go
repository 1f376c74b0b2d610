package main

import (
	"fmt"
	"strings"
	"sync"

	"endiveroute.example/endive/platform/stand"
)

// checks records the runs on all workers and the rules that they violate. It
// implements stand.RunObserver.
type checks struct {
	// usage also gets all runs.
	usage *stand.Usage

	mu         sync.Mutex
	running    map[string]stand.Run
	done       map[string]bool
	started    map[string]bool
	runs       int
	violations []string
}

func newChecks() *checks {
	return &checks{running: make(map[string]stand.Run), done: make(map[string]bool), started: make(map[string]bool)}
}

// RunStarted implements stand.RunObserver.
func (c *checks) RunStarted(run stand.Run) {
	c.usage.RunStarted(run)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
	c.started[jobOf(run.Task)] = true
	if other, ok := c.running[run.Task]; ok {
		c.violations = append(c.violations, fmt.Sprintf("%s run %d on %s and run %d on %s at the same time",
			run.Task, other.Number, other.Worker, run.Number, run.Worker))
	}
	if c.done[run.Task] {
		c.violations = append(c.violations, fmt.Sprintf("%s run %d on %s starts after it was done", run.Task, run.Number, run.Worker))
	}
	c.running[run.Task] = run
}

// RunEnded implements stand.RunObserver. It counts a finished task as done before the
// worker has reported the end; markEndsLost reverts that if the worker is killed first.
func (c *checks) RunEnded(run stand.Run) {
	c.usage.RunEnded(run)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, run.Task)
	if run.EndReason == "done" {
		c.done[run.Task] = true
	}
}

// LeaseExpired implements stand.LeaseObserver.
func (c *checks) LeaseExpired(tasks []string) { c.markEndsLost(tasks) }

// markEndsLost marks tasks as not done, because the worker was killed, or its lease expired, before
// the ends of their runs were acknowledged. These tasks may run again.
func (c *checks) markEndsLost(tasks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range tasks {
		delete(c.done, task)
	}
}

func (c *checks) startCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs
}

func (c *checks) addViolation(violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation)
}

// findings returns the violations, including runs of refused jobs: those whose
// submissions were all refused.
func (c *checks) findings(refused ...map[string]bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := append([]string(nil), c.violations...)
	for _, jobs := range refused {
		for job := range jobs {
			if c.started[job] {
				found = append(found, "job "+job+" was refused and runs")
			}
		}
	}
	return found
}

// jobOf returns the id of the job to which a task belongs.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
