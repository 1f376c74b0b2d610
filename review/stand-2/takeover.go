package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// The case "takeover": many small tasks end while no entry holds their pool, since the holder freezes. The next
// holder must not start again what has ended done.

const (
	takeoverTasks = 2000
	// takeoverExecutors are executors of 64 cores; the tasks take a twentieth of a core each.
	takeoverExecutors = 3
	takeoverWork      = 15 * time.Second
	// freezeBefore is how long before the first tasks end the holder freezes.
	freezeBefore = 300 * time.Millisecond
	// freezeTime is for_s of node_freeze at the site.
	freezeTime = 4 * time.Second
)

func playTakeover(r *Rig) (bool, error) {
	store, err := r.startStore(operatorConfig(1))
	if err != nil {
		return false, err
	}
	var executors []*Executor
	for i := range takeoverExecutors {
		x := newExecutor(fmt.Sprintf("i-7f3a91c%d", i), wideService, i, r.store, r.record, func(string) time.Duration { return takeoverWork })
		if err := x.start(); err != nil {
			return false, err
		}
		executors = append(executors, x)
	}
	if err := r.startEntries(store, wideHost); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	answer := r.client.submit(widePrefix+wideJob, map[string]any{"task_spec": "cut", "steps": []map[string]any{
		{"count": takeoverTasks, "cpu": 50, "mem_mb": 32, "estimate_ms": takeoverWork.Milliseconds()},
	}})
	r.record.line("client hands in job %s with %d tasks: %d", wideJob, takeoverTasks, answer.status)
	if answer.status != 200 {
		return false, fmt.Errorf("the job wasn't accepted: %s", answer.body)
	}
	if err := waitFor(15*time.Second, "all tasks to start", func() bool {
		starts, _, _ := r.record.runs(wideJob)
		return starts >= takeoverTasks
	}); err != nil {
		return false, err
	}
	first := r.record.firstStart(wideJob)
	for _, x := range executors {
		r.record.line("executor %s runs %d tasks", x.id, x.running())
	}
	time.Sleep(time.Until(first.Add(takeoverWork - freezeBefore)))
	victim := r.lastWriter(wideService)
	if victim == nil {
		return false, fmt.Errorf("no entry holds the pool")
	}
	if r.trouble {
		victim.signal(syscall.SIGSTOP)
		r.record.line("%s freezes", victim.name)
		time.Sleep(freezeTime)
		victim.signal(syscall.SIGCONT)
		r.record.line("%s wakes", victim.name)
	}
	if err := waitFor(50*time.Second, "the job to be completed", func() bool {
		return r.client.state(widePrefix+wideJob) == "completed"
	}); err != nil {
		r.record.line("%v", err)
	}
	time.Sleep(2 * time.Second)
	r.logJob(wideJob)
	return r.judgeTwice(executors), nil
}

// judgeTwice reports whether no task was started after a run of it had ended done, whose end was taken note of.
func (r *Rig) judgeTwice(executors []*Executor) bool {
	noted := make(map[string]time.Time)
	for _, x := range executors {
		for task, ended := range x.notedDone() {
			if at, ok := noted[task]; !ok || ended.Before(at) {
				noted[task] = ended
			}
		}
	}
	var again []string
	for _, start := range r.record.startsOf(wideJob) {
		if ended, ok := noted[start.task]; ok && start.at.After(ended) {
			again = append(again, fmt.Sprintf("%s run %d on %s at %.3f, done at %.3f", start.task, start.run, start.executor, r.record.at(start.at), r.record.at(ended)))
		}
	}
	r.record.line("ends done that were taken note of: %d; starts of such tasks after that end: %d", len(noted), len(again))
	if len(again) == 0 {
		return true
	}
	r.record.line("TWICE: %s", strings.Join(again[:min(len(again), 5)], "; "))
	return false
}
