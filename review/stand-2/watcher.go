package main

import (
	"fmt"
	"time"
)

// The case "watcher": tasks that last, while the executors on which they run are lost for good, one after the
// other. Such a task must not stay away while executors are idle.

const (
	watcherExecutors = 35
	watcherTasks     = 1
	// losses is how many executors are lost, each by itself, of watcherExecutors.
	losses = 5
	// lossPause is the calm time between the return of the tasks and the next loss.
	lossPause = 3 * time.Second
	// lastingGrace and lastingIdle are the 6 s after a task's last run and the 3 s after those in which it
	// may not be away.
	lastingGrace = 6 * time.Second
	lastingIdle  = 3 * time.Second
	// observation is how long the tasks are looked at after the last loss.
	observation = 40 * time.Second
)

func playWatcher(r *Rig) (bool, error) {
	store, err := r.startStore(operatorConfig(1))
	if err != nil {
		return false, err
	}
	var executors []*Executor
	for i := range watcherExecutors {
		x := newExecutor(fmt.Sprintf("i-7f3a91%02x", i), wideService, i, r.store, r.record, func(string) time.Duration { return 0 })
		if err := x.start(); err != nil {
			return false, err
		}
		executors = append(executors, x)
	}
	if err := r.startEntries(store, wideHost); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	answer := r.client.submit(widePrefix+wideJob, map[string]any{"task_spec": "watch", "steps": []map[string]any{
		{"count": watcherTasks, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500, "long_running": true},
	}})
	r.record.line("client hands in job %s with %d tasks that last: %d", wideJob, watcherTasks, answer.status)
	if answer.status != 200 {
		return false, fmt.Errorf("the job wasn't accepted: %s", answer.body)
	}
	atWork := func() int {
		total := 0
		for _, x := range executors {
			total += x.running()
		}
		return total
	}
	back := func() bool { return atWork() == watcherTasks }
	if err := waitFor(10*time.Second, "the tasks to start", back); err != nil {
		return false, err
	}
	for n := range losses {
		time.Sleep(lossPause)
		for _, x := range executors {
			if x.running() == 0 || !r.trouble {
				continue
			}
			lost := x.crash()
			r.record.line("loss %d: executor %s is lost for good with %d tasks", n+1, x.id, lost)
			break
		}
		if n == losses-1 {
			break
		}
		if err := waitFor(30*time.Second, "the tasks to start again", back); err != nil {
			r.record.line("%v", err)
			break
		}
		r.record.line("all tasks are at work")
	}
	awaySince, held := time.Now(), true
	for end := time.Now().Add(observation); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if back() {
			awaySince = time.Now()
		}
		if away := time.Since(awaySince); held && away > lastingGrace+lastingIdle {
			held = false
			r.record.line("LOST: %d of %d tasks that last have nothing running for %s, %d executors are idle; the job is shown as %q",
				watcherTasks-atWork(), watcherTasks, away.Round(time.Millisecond), watcherExecutors-losses, r.client.state(widePrefix+wideJob))
		}
	}
	r.record.line("at work at the end: %d of %d tasks", atWork(), watcherTasks)
	r.logJob(wideJob)
	return held, nil
}
