package place

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiveroute.example/endive"
)

// safetyChecker checks the scheduler's invariants at each start of a task and
// after each step.
type safetyChecker struct {
	t       *rapid.T
	c       *cluster
	jobs    map[endive.JobID]endive.Job
	started map[endive.TaskID]int
}

// onStart checks on the workers, which know what really runs, that none is
// overloaded, that a non-idempotent task starts once, and that no exclusive
// task runs twice.
func (g *safetyChecker) onStart(w *fakeWorker, s endive.StartTask, now time.Time) {
	var used endive.Resources
	for _, t := range w.running(now) {
		used = used.Add(t.report.Need)
	}
	if !used.Fits(w.size) {
		g.t.Fatalf("worker %s of size %s runs tasks that need %s", w.id, w.size, used)
	}
	id, _ := parseTask(s.Task)
	j := g.jobs[id]
	g.started[s.Task]++
	if j.NonIdempotent && g.started[s.Task] > 1 {
		g.t.Fatalf("non-idempotent task %s was started twice", s.Task)
	}
	if j.Kind == endive.KindWatcher {
		return
	}
	n := 0
	for _, other := range g.c.workers {
		for _, t := range other.running(now) {
			if t.report.Task == s.Task {
				n++
			}
		}
	}
	if n > 1 {
		g.t.Fatalf("task %s runs on two workers", s.Task)
	}
}

// afterStep checks that the holder's own counts are consistent and that gangs
// run as a whole.
func (g *safetyChecker) afterStep(e *entry) {
	for _, w := range e.machine.workers.list {
		var used endive.Resources
		for _, a := range w.attempts {
			used = used.Add(a.need)
		}
		if used != w.used {
			g.t.Fatalf("worker %s: %s committed, but the attempts need %s", w.id, w.used, used)
		}
	}
	waiting := 0
	for _, j := range e.machine.jobs {
		waiting += j.waitingTasks()
		if j.Kind == endive.KindGang && !j.gangRestarting && !j.NonIdempotent && !j.cancelled && len(j.running) > 0 &&
			j.waitingTasks() > 0 && e.machine.takeover.done {
			g.t.Fatalf("gang %s runs %d tasks without the other %d", j.ID, len(j.running), j.waitingTasks())
		}
	}
	if waiting != e.machine.waitingTasks {
		g.t.Fatalf("%d tasks wait, but the machine counts %d", waiting, e.machine.waitingTasks)
	}
}

// plan draws a run time for each task and lets some tasks fail.
func (g *safetyChecker) plan(s endive.StartTask) (time.Duration, endive.TaskState) {
	id, _ := parseTask(s.Task)
	if g.jobs[id].Kind == endive.KindWatcher {
		return 24 * time.Hour, endive.TaskSucceeded
	}
	runTime := time.Duration(1+g.c.random.Intn(90)) * time.Second
	if g.c.random.Intn(4) == 0 {
		runTime *= 5
	}
	if strings.HasPrefix(string(id), "bad") || g.c.random.Intn(20) == 0 {
		return runTime, endive.TaskFailed
	}
	return runTime, endive.TaskSucceeded
}

func drawJob(t *rapid.T, n int) endive.Job {
	kind := rapid.SampledFrom([]endive.JobKind{endive.KindBatch, endive.KindBatch, endive.KindGang, endive.KindWatcher}).Draw(t, "kind")
	j := endive.Job{
		ID: endive.JobID(fmt.Sprint("job", n)), Name: endive.JobName(fmt.Sprint("n", n%5)), Team: "a", Kind: kind,
		Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Need: cores(rapid.IntRange(1, 4).Draw(t, "need")),
		RunTime:  endive.Interval(30 * time.Second),
		Priority: rapid.SampledFrom([]endive.Priority{0, 100, 200, 300}).Draw(t, "priority"), Attempts: 20,
		Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
	}
	switch kind {
	case endive.KindWatcher:
		j.Tasks, j.Need = 1+j.Tasks%2, cores(1)
	case endive.KindGang:
		// Watchers never end, so a gang must fit beside all of them.
		j.Need = cores(1 + int(j.Need.Processors/1000)%2)
	}
	if kind != endive.KindWatcher && rapid.IntRange(0, 2).Draw(t, "nonIdempotent") == 0 {
		j.NonIdempotent = true
	}
	if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
		j.ID = "bad" + j.ID
		j.Attempts = 2
	}
	return j
}

// injectFault draws a fault and applies it.
func (g *safetyChecker) injectFault(t *rapid.T) {
	c := g.c
	e := c.holder
	w := rapid.SampledFrom(c.workers).Draw(t, "worker")
	duration := time.Duration(rapid.IntRange(1, 200).Draw(t, "span")) * time.Second
	kind := rapid.SampledFrom([]string{"cut", "restart", "pause", "kill", "store", "handOver", "lag", "killLag", "isolate", "none"}).Draw(t, "fault")
	switch kind {
	case "cut":
		w.cutOff = true
		c.schedule(duration, func() { w.cutOff = false })
	case "restart":
		w.restart()
	case "pause":
		e.pause(duration)
	case "kill":
		e.dead = true
	case "store":
		c.storeDown = true
		c.schedule(duration, func() { c.storeDown = false })
	case "handOver":
		e.step(HandOver{})
		c.schedule(time.Minute, func() { e.dead = e.dead || !e.released })
	case "isolate":
		e.storeCutOff, w.onlyReachableBy = true, e
		c.schedule(2*duration, func() { e.storeCutOff, w.onlyReachableBy = false, nil })
	case "lag", "killLag":
		c.unlisted = w
		c.schedule(duration, func() {
			c.unlisted = nil
			c.holder.step(c.members())
		})
		e.step(c.members())
		e.dead = e.dead || kind == "killLag"
	}
}

// replaceHolder periodically checks the lease, and lets a new entry acquire the
// lease once it has expired or was released.
func (g *safetyChecker) replaceHolder() {
	c := g.c
	if c.holder.released || !c.now.Before(c.leaseEnd) {
		next := c.join()
		c.acquire(next, c.holder.released && c.now.Before(c.leaseEnd))
	}
	c.schedule(500*time.Millisecond, g.replaceHolder)
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := []endive.Resources{cores(8), cores(8), cores(6), cores(4)}
		c := newCluster(int64(rapid.Uint32().Draw(t, "seed")), sizes...)
		c.faults = rapid.SampledFrom([]int{0, 3, 10}).Draw(t, "faults")
		g := &safetyChecker{t: t, c: c, jobs: make(map[endive.JobID]endive.Job), started: make(map[endive.TaskID]int)}
		c.afterStep = g.afterStep
		c.onStaleWrite = func() { t.Fatalf("a previous holder wrote after the takeover") }
		for _, w := range c.workers {
			w.plan, w.onStart, w.stopTime = g.plan, g.onStart, 3*time.Second
		}
		c.acquire(c.join(), false)
		g.replaceHolder()
		watchers := 0
		for n := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := drawJob(t, n)
			if j.Kind == endive.KindWatcher {
				watchers++
				if watchers > 3 {
					continue
				}
			}
			g.jobs[j.ID] = j
			c.submit(j)
			c.run(time.Duration(rapid.IntRange(0, 40000).Draw(t, "wait")) * time.Millisecond)
			g.injectFault(t)
			if rapid.IntRange(0, 7).Draw(t, "cancel") == 0 {
				c.cancel(j.ID)
			}
		}
		c.run(200 * time.Second)
		c.faults = 0
		for minutes := 0; minutes < 180 && !g.allEnded(); minutes++ {
			c.run(time.Minute)
		}
		g.checkEnds()
	})
}

func (g *safetyChecker) allEnded() bool {
	for id, j := range g.jobs {
		_, ok := g.c.ended(id)
		if !ok && (j.Kind != endive.KindWatcher || g.c.running(id) < j.Tasks) {
			return false
		}
	}
	return true
}

// checkEnds checks that every job has ended and that every watcher runs all of
// its tasks.
func (g *safetyChecker) checkEnds() {
	for id, j := range g.jobs {
		s, ok := g.c.ended(id)
		if j.Kind == endive.KindWatcher && !ok {
			j.Defaults()
			if n := g.c.running(id); n < j.Tasks {
				g.t.Fatalf("watcher %s runs %d of %d tasks", id, n, j.Tasks)
			}
			continue
		}
		if !ok {
			g.explain(id)
		}
		if j.NonIdempotent && s.Unknown > 0 || s.State == endive.JobCancelled {
			continue
		}
		if s.Succeeded+s.Failed != s.Succeeded+s.Failed+s.Waiting+s.Running {
			g.t.Fatalf("job %s ended with tasks left: %+v", id, s)
		}
	}
}

func (g *safetyChecker) explain(id endive.JobID) {
	g.c.onAnswer = func(a endive.Action) { g.t.Fatalf("job %s has not ended: %+v", id, a) }
	g.c.holder.step(ExplainJob{Job: id})
}
