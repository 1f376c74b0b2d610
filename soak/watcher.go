package main

import (
	"fmt"
	"net/http"
	"time"

	"endiveroute.example/endive/platform/stand"
)

// watchInterval is the time between two requests of a watcher.
const watchInterval = 50 * time.Millisecond

// watcher asks one entry for the states of the outstanding jobs of one account.
type watcher struct {
	clients *clients
	entry   *entry
}

// run asks until the soak is stopped.
func (w *watcher) run() {
	for {
		for _, id := range append(w.clients.outstandingJobs(), "") {
			select {
			case <-w.clients.soak.stopped:
				return
			case <-time.After(watchInterval):
			}
			if id != "" {
				w.clients.look(w.entry, id)
			}
		}
	}
}

// outstandingJobs returns the ids of the outstanding jobs.
func (c *clients) outstandingJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.outstanding))
	for id := range c.outstanding {
		ids = append(ids, id)
	}
	return ids
}

// settle reports whether a job was outstanding, and makes it not outstanding.
func (c *clients) settle(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	outstanding := c.outstanding[id]
	delete(c.outstanding, id)
	return outstanding
}

// look asks an entry for the state of an outstanding job, and describes the state; empty if the job is completed. A
// job that is shown as failed or cancelled is a violation at once: no worker's run fails, and clients cancel no
// outstanding job. Only workers that crash under a task may make its job fail.
func (c *clients) look(e *entry, id string) string {
	var state stand.JobState
	// Any queue's path prefix will do: jobs are looked up by id.
	status := c.sendTo(e, http.MethodGet, "/quick/"+id, c.soak.accounts.key(c.account), "", &state)
	switch {
	case status != http.StatusOK:
		return fmt.Sprintf("unknown, %s answers %d", e.name, status)
	case state.Completed():
		c.soak.checks.jobCompleted(id)
		if c.settle(id) {
			c.checkOwner(e, id)
		}
		return ""
	case state.Failed() || state.Cancelled():
		if c.settle(id) {
			c.notCompleted(id, state, fmt.Sprintf("LOST: job %s of %s is shown as %s by %s", id, c.account, state.State, e.name))
		}
	}
	return state.State
}

// notCompleted records that a job is shown as failed or cancelled.
func (c *clients) notCompleted(id string, state stand.JobState, violation string) {
	if state.Failed() {
		c.soak.jobFailed(id, violation)
		return
	}
	c.soak.checks.addViolation(violation)
}

// checkOwner records a violation if a completed job is shown to another account.
func (c *clients) checkOwner(e *entry, id string) {
	other := c.soak.accounts.key(otherAccount(c.account))
	if other != "" && c.sendTo(e, http.MethodGet, "/quick/"+id, other, "", nil) == http.StatusOK {
		c.soak.checks.addViolation("job " + id + " is shown to another account")
	}
}

// unfinished returns the accepted jobs that aren't reported as completed, with their states.
func (c *clients) unfinished() []string {
	var unfinished []string
	for _, id := range c.outstandingJobs() {
		if state := c.look(c.anyEntry(), id); state != "" {
			unfinished = append(unfinished, "job "+id+" is "+state)
		}
	}
	return unfinished
}
