package main

import (
	"fmt"
	"strings"
	"sync"

	"endiveroute.example/endive/platform/stand"
)

// checks watches the workers. It implements stand.RunObserver.
type checks struct {
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

// RunEnded implements stand.RunObserver. An end counts as done only if its worker lives to
// tell it, which forgotten undoes.
func (c *checks) RunEnded(run stand.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, run.Task)
	if run.EndReason == "done" {
		c.done[run.Task] = true
	}
}

// markEndsLost takes back that tasks are done, since their worker died before their
// ends were taken note of.
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

// findings returns what was broken, given the jobs that were only ever refused.
func (c *checks) findings(refused map[string]bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := append([]string(nil), c.violations...)
	for job := range refused {
		if c.started[job] {
			found = append(found, "job "+job+" was refused and runs")
		}
	}
	return found
}

// jobOf returns the job that a task belongs to.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
