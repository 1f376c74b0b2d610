package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The case "wide": a job with many tasks, and an executor that crashes soon after they have started. The job's row of
// progress must not outgrow the store.

const (
	wideHost    = "ficu95.example"
	widePrefix  = "/lohu930/"
	wideJob     = "5c0e7a21d94b36f8"
	wideService = "cut-planner"
	// wideTasks is the count of the job's first step.
	wideTasks = 1300
	// wideExecutors is the number of executors, of 64 cores each; one of them is an eighth, below the share
	// 0.14 of srv_crash at the site. A task takes a tenth of a core.
	wideExecutors = 8
	wideWork      = 10 * time.Second
	// crashAfter is how long after the last start the executor crashes, and crashTime is for_s.
	crashAfter = 250 * time.Millisecond
	crashTime  = 4500 * time.Millisecond
	// laterJobs are the small jobs that are handed in after the troubles, one a second.
	laterJobs = 8
	laterWork = 500 * time.Millisecond
	// finishTime is finish_s.
	finishTime = 14 * time.Second
	// idleTime is how long a job with work to do may have nothing running.
	idleTime = 3 * time.Second
)

func wideRunTime(task string) time.Duration {
	switch {
	case strings.HasPrefix(task, wideJob+".0.0."):
		return wideWork
	case strings.HasPrefix(task, wideJob+"."):
		return time.Second
	default:
		return laterWork
	}
}

// operatorConfig is a configuration with one queue.
func operatorConfig(version int) any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "batch-tender", "host": wideHost, "prefix": widePrefix, "service": wideService, "priority": 2, "max_attempts": 4,
			"slack_factor": 4, "target_latency_ms": 3000,
		}},
		"services": []map[string]any{{"name": wideService, "enforces_capacity": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	}
}

func playWide(r *Rig) (bool, error) {
	store, err := r.startStore(operatorConfig(1))
	if err != nil {
		return false, err
	}
	var executors []*Executor
	for i := range wideExecutors {
		x := newExecutor(fmt.Sprintf("i-7f3a91c%d", i), wideService, i, r.store, r.record, wideRunTime)
		if err := x.start(); err != nil {
			return false, err
		}
		executors = append(executors, x)
	}
	if err := r.startEntries(store, wideHost); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	job := map[string]any{"task_spec": "cut", "steps": []map[string]any{
		{"count": wideTasks, "cpu": 100, "mem_mb": 64, "estimate_ms": wideWork.Milliseconds()},
		{"count": 8, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1000, "after": []int{0}},
	}}
	answer := r.client.submit(widePrefix+wideJob, job)
	r.record.line("client hands in job %s with %d + 8 tasks: %d", wideJob, wideTasks, answer.status)
	if answer.status != 200 {
		return false, fmt.Errorf("the job wasn't accepted: %s", answer.body)
	}
	if err := waitFor(15*time.Second, "all tasks to start", func() bool {
		starts, _, _ := r.record.runs(wideJob)
		return starts >= wideTasks
	}); err != nil {
		return false, err
	}
	r.record.line("executors have begun all tasks of its first step")
	time.Sleep(crashAfter)
	if x := busiest(executors); r.trouble {
		r.record.line("executor %s crashes with %d tasks, for %s", x.id, x.crash(), crashTime)
		time.Sleep(crashTime)
		if err := x.start(); err != nil {
			return false, err
		}
		r.record.line("executor %s is back", x.id)
	}
	if err := waitFor(30*time.Second, "the first step to end on the executors", func() bool {
		total := 0
		for _, x := range executors {
			total += x.doneOf(wideJob + ".0.0.")
		}
		return total >= wideTasks
	}); err != nil {
		r.record.line("%v", err)
	}
	r.logJob(wideJob)

	var later []string
	for i := range laterJobs {
		id := fmt.Sprintf("a0000000000000%02x", i)
		answer := r.client.submit(widePrefix+id, map[string]any{"task_spec": "quote", "steps": []map[string]any{
			{"count": 4, "cpu": 1000, "mem_mb": 64, "estimate_ms": laterWork.Milliseconds()},
		}})
		r.record.line("client hands in job %s with 4 tasks: %d", id, answer.status)
		if answer.status == 200 {
			later = append(later, id)
		}
		time.Sleep(time.Second)
	}
	r.record.line("the traffic ends; finish_s is %s", finishTime)
	time.Sleep(finishTime)

	r.logJob(wideJob)
	for _, id := range later {
		r.logJob(id)
	}
	listed, waiting := 0, 0
	for _, x := range executors {
		all, left := x.endCounts()
		listed, waiting = listed+all, waiting+left
	}
	r.record.line("transactions that the store refused: %d; ends that executors have listed: %d, not taken note of: %d", r.store.rejected, listed, waiting)
	return r.judge(wideJob, wideTasks+8), nil
}

// busiest returns the executor with the most tasks at work.
func busiest(executors []*Executor) *Executor {
	return slices.MaxFunc(executors, func(a, b *Executor) int { return cmp.Compare(a.running(), b.running()) })
}

// logJob records what executors have run of a job, and its state.
func (r *Rig) logJob(id string) string {
	starts, ends, last := r.record.runs(id)
	state := r.client.state(widePrefix + id)
	r.record.line("job %s: state %q; executors have begun %d runs of it, ends %s, the last event %s ago", id, state, starts, ends, time.Since(last).Round(time.Millisecond))
	return state
}

// judge reports whether an accepted job was done, or is at work.
func (r *Rig) judge(id string, tasks int) bool {
	state := r.client.state(widePrefix + id)
	_, _, last := r.record.runs(id)
	done := r.record.done(id)
	switch {
	case state == "completed" && done == tasks:
		return true
	case state != "completed" && time.Since(last) < idleTime:
		r.record.line("job %s isn't completed, but is at work", id)
		return true
	default:
		r.record.line("LOST: job %s is shown as %q with %d of %d tasks done; the turn of the others has come, nothing of it has run for %s, and the service is idle",
			id, state, done, tasks, time.Since(last).Round(time.Second))
		return false
	}
}

// doneOf returns how many tasks with a prefix have ended done on the machine.
func (x *Executor) doneOf(prefix string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.done[prefix]
}

// endCounts returns how many ends the incarnation has listed, and how many of them aren't acknowledged.
func (x *Executor) endCounts() (listed, waiting int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return int(x.lastEnd), len(x.ends)
}
