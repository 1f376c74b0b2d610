package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"endiveroute.example/endive/platform/stand"
)

// completedSlack is the time after which no task may start any more once its job is shown as completed.
const completedSlack = time.Second

// runID identifies a run.
type runID struct {
	task, worker string
	// born is when the worker's incarnation started.
	born   time.Time
	number int64
}

// order identifies an order to start, which several incarnations of a worker may carry out.
type order struct {
	task, worker string
	number       int64
}

// order returns the order of a run.
func (r runID) order() order { return order{task: r.task, worker: r.worker, number: r.number} }

// runIDOf returns the identity of a run.
func runIDOf(run stand.Run) runID {
	return runID{task: run.Task, worker: run.Worker, born: run.Born, number: run.Number}
}

// checks records the runs on all workers and the rules that they violate. It
// implements stand.RunObserver.
type checks struct {
	// usage also gets all runs.
	usage *stand.Usage
	// cutter also gets all runs that start; nil in tests.
	cutter *cutter
	events *events

	mu      sync.Mutex
	running map[string][]stand.Run
	// done holds the runs that ended as done, by the key of their task.
	done map[string][]runID
	// everDone holds the keys of the tasks of which a run has ended as done, whether that end was lost or not.
	everDone map[string]bool
	// acknowledged holds the runs whose ends a poll has acknowledged, whatever incarnation it was meant for.
	acknowledged map[runID]bool
	// strayEnds holds those of them that only a stray poll has acknowledged: nobody has seen the end.
	strayEnds map[runID]bool
	// strayRuns holds the runs that a stray order has started (stand.Run.Stray).
	strayRuns map[runID]bool
	// orders holds the orders to start that were carried out, by any incarnation.
	orders map[order]bool
	// crashes counts, by task, the workers that were killed under it. givenUp counts the jobs that are shown as failed and
	// have a task under which minCrashes were.
	crashes map[string]int
	givenUp int
	// stray describes what would be violations, if anybody could have prevented it.
	stray   []string
	started map[string]bool
	// jobs holds what clients have submitted.
	jobs map[string]stand.Job
	// gangs holds the numbers of members of the steps that are gangs, by the keys of their tasks.
	gangs map[string]int
	// completed has when each job was first shown as completed.
	completed  map[string]time.Time
	runs       int
	violations []string
}

func newChecks(events *events) *checks {
	return &checks{
		events: events, running: make(map[string][]stand.Run), done: make(map[string][]runID),
		everDone: make(map[string]bool), acknowledged: make(map[runID]bool), strayEnds: make(map[runID]bool), strayRuns: make(map[runID]bool), orders: make(map[order]bool), crashes: make(map[string]int), started: make(map[string]bool), jobs: make(map[string]stand.Job),
		gangs: make(map[string]int), completed: make(map[string]time.Time),
	}
}

// addJob records a job and which of its steps are gangs.
func (c *checks) addJob(id string, job stand.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = job
	for i, step := range job.Steps {
		if step.Gang {
			c.gangs[fmt.Sprintf("%s.0.%d", id, i)] = step.Tasks
		}
	}
}

// gangSize returns the number of members of a task's gang; 0 if the task is in none.
func (c *checks) gangSize(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gangs[stepOf(task)]
}

// key returns the key of a task in done: its step if that is a gang, whose members succeed together;
// otherwise the task itself. c.mu must be held.
func (c *checks) key(task string) string {
	if step := stepOf(task); c.gangs[step] > 0 {
		return step
	}
	return task
}

// RunStarted implements stand.RunObserver.
func (c *checks) RunStarted(run stand.Run) {
	c.usage.RunStarted(run)
	if c.cutter != nil {
		c.cutter.runStarted(run)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if run.Stray {
		c.strayRuns[runIDOf(run)] = true
	}
	start := c.describe(runIDOf(run))
	c.events.add("%s run %d starts on %s", run.Task, run.Number, run.Worker)
	c.runs++
	job := jobOf(run.Task)
	c.started[job] = true
	for _, other := range c.running[run.Task] {
		c.addLocked(fmt.Sprintf("TWICE: %s and %s at the same time", c.describe(runIDOf(other)), start))
	}
	one := runIDOf(run).order()
	// A duplicate is an order that a former incarnation has carried out, also.
	duplicate := run.Stray && c.orders[one]
	c.orders[one] = true
	for _, done := range c.done[c.key(run.Task)] {
		// The members of one run of a gang share its number, and may start after another member has ended.
		if done.task == run.Task || done.number != run.Number {
			c.addStart(c.strayEnds[done] || duplicate && done.order() == one, fmt.Sprintf("TWICE: %s starts after %s was done (%s)", start,
				c.describe(done), c.acknowledgement(done)))
		}
	}
	if at, ok := c.completed[job]; ok && run.Started.Sub(at) > completedSlack {
		c.addStart(duplicate, fmt.Sprintf("TWICE: %s starts %v after its job was shown as completed", start, run.Started.Sub(at)))
	}
	c.running[run.Task] = append(c.running[run.Task], run)
}

// describe names a run in a finding, and says whether a stray order has started it. c.mu must be held.
func (c *checks) describe(run runID) string {
	description := fmt.Sprintf("%s run %d on %s", run.task, run.number, run.worker)
	if c.strayRuns[run] {
		description += " (by a stray order)"
	}
	return description
}

// RunEnded implements stand.RunObserver. It counts a finished task as done before the
// worker has reported the end; markEndsLost reverts that if the worker is killed first.
func (c *checks) RunEnded(run stand.Run) {
	c.usage.RunEnded(run)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events.add("%s run %d on %s ends: %s", run.Task, run.Number, run.Worker, run.EndReason)
	c.running[run.Task] = slices.DeleteFunc(c.running[run.Task], func(r stand.Run) bool { return runIDOf(r) == runIDOf(run) })
	if run.EndReason == "died" {
		c.crashes[run.Task]++
	}
	if run.EndReason == "done" {
		key := c.key(run.Task)
		c.done[key] = append(c.done[key], runIDOf(run))
		c.everDone[key] = true
	}
}

// acknowledgement says whether the end of a run is acknowledged. An end that isn't is still listed, and the lease goes on.
// c.mu must be held.
func (c *checks) acknowledgement(run runID) string {
	if c.acknowledged[run] {
		return "acknowledged"
	}
	return "not acknowledged yet"
}

// EndsAcknowledged implements stand.AcknowledgementObserver.
func (c *checks) EndsAcknowledged(runs []stand.Run, stray bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, run := range runs {
		c.acknowledged[runIDOf(run)] = true
		if stray {
			c.strayEnds[runIDOf(run)] = true
		}
	}
}

// LeaseExpired implements stand.LeaseObserver.
func (c *checks) LeaseExpired(runs []stand.Run) { c.markEndsLost(runs) }

// markEndsLost marks runs as not done, because the worker was killed, or its lease expired, before
// their ends were acknowledged. Their tasks may run again, unless another run of them is done.
func (c *checks) markEndsLost(runs []stand.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, run := range runs {
		key := c.key(run.Task)
		c.done[key] = slices.DeleteFunc(c.done[key], func(id runID) bool { return id == runIDOf(run) })
	}
}

// jobCompleted records that a job is shown as completed, which is a violation unless all of its tasks have been done.
func (c *checks) jobCompleted(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.completed[job]; ok {
		return
	}
	c.completed[job] = time.Now()
	for i, step := range c.jobs[job].Steps {
		for n := range step.Tasks {
			task := fmt.Sprintf("%s.0.%d.%d", job, i, n)
			if !c.everDone[c.key(task)] {
				c.addLocked("MIXED: job " + job + " is shown as completed, and " + task + " has never been done")
			}
		}
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
	c.addLocked(violation)
}

// addLocked adds a violation with its time. c.mu must be held.
func (c *checks) addLocked(violation string) {
	violation = time.Now().Format(time.StampMilli) + " " + violation
	c.violations = append(c.violations, violation)
	c.events.add("FINDING %s", violation)
}

// addStart adds a start after the end of a task. It is no violation if nobody could have prevented it. c.mu must be held.
func (c *checks) addStart(stray bool, start string) {
	if !stray {
		c.addLocked(start)
		return
	}
	c.stray = append(c.stray, start)
	c.events.add("STRAY %s", start)
}

// strayStarts returns the starts after the end of a task that nobody could have prevented.
func (c *checks) strayStarts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.stray...)
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

// stepOf returns the name of a task without its index.
func stepOf(task string) string {
	return task[:max(0, strings.LastIndex(task, "."))]
}
