package main

import "fmt"

// minCrashes is the number of workers that must have crashed under a task before its job may be shown as failed.
const minCrashes = 2

// jobFailed records that a job is shown as failed. That is a violation unless workers may restart under long tasks, and
// have crashed under one of its tasks often enough for the entries to give it up.
func (s *soak) jobFailed(job, violation string) {
	if s.restarter.enabled && s.checks.mayGiveUp(job) {
		return
	}
	s.checks.addViolation(violation)
}

// mayGiveUp reports whether enough workers have crashed under a task of the job, and then counts it.
func (c *checks) mayGiveUp(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, crashes := range c.crashes {
		if jobOf(task) == job && crashes >= minCrashes {
			c.givenUp++
			c.events.add("job %s is given up: %d workers have crashed under %s", job, crashes, task)
			return true
		}
	}
	return false
}

// crashSummary says how many jobs were given up.
func (c *checks) crashSummary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d jobs given up after %d crashes or more under one task", c.givenUp, minCrashes)
}
