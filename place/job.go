package place

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// job is an accepted job with what is known of its tasks, by their index.
type job struct {
	endive.Job
	// seq is the order in which jobs were first seen.
	seq uint64
	// again lists tasks to be placed once more; from next on, none was tried.
	again []int
	next  int

	running map[int]*attempt
	// racks counts the running tasks of a watcher by rack.
	racks     map[endive.Rack]int
	delayed   map[int]bool
	fails     map[int]int
	losses    map[int]int
	succeeded bitmap
	resume    map[int]bool
	started   map[int]rows.TaskStart
	// failed and unknown are final.
	failed  []int
	unknown []int
	final   map[int]bool
	// good counts the succeeded tasks.
	good int

	cancelled bool
	// ended is set with the final status.
	ended  bool
	queued bool
	// held says that the tasks may run on a worker that hasn't answered yet.
	held bool
	// parked says why no worker can ever hold a task.
	parked string
	// unreadable says that the progress row is broken; nothing is started.
	unreadable bool
	// regroup says that all tasks of a gang are stopped to start together again.
	regroup bool
	// counted is how many waiting tasks the machine's totals hold.
	counted int
	team    *team
	// claims are workers that tasks are preempted on for this job.
	claims []claim
	// triedAt is what had been freed when the gang was tried last.
	triedAt uint64
	// firmAt is kept over reservations, so that a gang can't starve.
	firmAt time.Time

	// dirty says that the progress has to be recorded.
	dirty     bool
	inTable   bool
	recording []*attempt
	forgets   []forget
	// reason is of the last failure.
	reason string
}

// forget is an ended attempt whose worker may forget it once the end is
// recorded.
type forget struct {
	worker  endive.WorkerID
	attempt endive.AttemptID
}

// endedTasks counts the tasks that have ended for good.
func (j *job) endedTasks() int { return j.good + len(j.failed) + len(j.unknown) }

// waitingTasks counts the tasks that could start now.
func (j *job) waitingTasks() int {
	if j.cancelled || j.ended || j.unreadable || j.parked != "" {
		return 0
	}
	return j.Tasks - j.endedTasks() - len(j.running) - len(j.delayed)
}

// startable reports whether the task is neither ended nor running nor delayed.
func (j *job) startable(index int) bool {
	return index < j.Tasks && j.running[index] == nil && !j.delayed[index] && !j.taskFinal(index)
}

// taskFinal reports whether the task has ended for good.
func (j *job) taskFinal(index int) bool { return j.succeeded.has(index) || j.final[index] }

// take returns a task to start next, or -1.
func (j *job) take() int {
	for len(j.again) > 0 {
		index := j.again[0]
		j.again = j.again[1:]
		if j.startable(index) {
			return index
		}
	}
	for j.next < j.Tasks {
		index := j.next
		j.next++
		if j.startable(index) {
			return index
		}
	}
	return -1
}

// finish notes that a task has failed or ended unseen, for good.
func (j *job) finish(index int, state endive.JobState) {
	if j.taskFinal(index) {
		return
	}
	if j.final == nil {
		j.final = make(map[int]bool)
	}
	j.final[index] = true
	if state == endive.JobUnknown {
		j.unknown = append(j.unknown, index)
		return
	}
	j.failed = append(j.failed, index)
}

// succeed notes that a task has succeeded.
func (j *job) succeed(index int) {
	if j.taskFinal(index) {
		return
	}
	j.succeeded = j.succeeded.with(index, j.Tasks)
	j.good++
}

// run notes the current attempt of a task.
func (j *job) run(a *attempt) {
	if j.running == nil {
		j.running = make(map[int]*attempt)
	}
	j.running[a.index] = a
	if j.Kind == endive.KindWatcher {
		if j.racks == nil {
			j.racks = make(map[endive.Rack]int)
		}
		j.racks[a.worker.rack]++
	}
}

// leave notes that a task has no current attempt any more.
func (j *job) leave(a *attempt) {
	delete(j.running, a.index)
	if j.Kind == endive.KindWatcher {
		j.racks[a.worker.rack]--
	}
}

// attempts returns the current attempts in the order of their tasks.
func (j *job) attempts() []*attempt {
	list := make([]*attempt, 0, len(j.running))
	for _, a := range j.running {
		list = append(list, a)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].index < list[k].index })
	return list
}

// restore takes over the recorded progress.
func (j *job) restore(p rows.Progress) {
	j.succeeded = bitmap(p.Succeeded)
	j.good = j.succeeded.count()
	j.fails, j.started = p.Attempts, p.Started
	for _, index := range p.Failed {
		j.finish(index, endive.JobFailed)
	}
	for _, index := range p.Unknown {
		j.finish(index, endive.JobUnknown)
	}
	for _, index := range p.Checkpointed {
		j.setResume(index)
	}
	j.inTable = true
}

func (j *job) setResume(index int) {
	if j.resume == nil {
		j.resume = make(map[int]bool)
	}
	j.resume[index] = true
}

// progress returns what the table should keep.
func (j *job) progress() rows.Progress {
	p := rows.Progress{
		Succeeded: j.succeeded, Attempts: j.fails, Failed: j.failed, Unknown: j.unknown, Started: j.started,
	}
	for index := range j.resume {
		p.Checkpointed = append(p.Checkpointed, index)
	}
	sort.Ints(p.Checkpointed)
	return p
}

// state returns how far the job is.
func (j *job) state() endive.JobState {
	switch {
	case j.ended && j.cancelled:
		return endive.JobCancelled
	case j.ended && len(j.unknown) > 0:
		return endive.JobUnknown
	case j.ended && len(j.failed) > 0:
		return endive.JobFailed
	case j.ended:
		return endive.JobSucceeded
	case len(j.running) > 0:
		return endive.JobRunning
	case j.parked != "":
		return endive.JobParked
	}
	return endive.JobQueued
}

// status returns what an operator is told.
func (j *job) status(slice endive.SliceID) endive.JobStatus {
	s := endive.JobStatus{
		Job: j.ID, Name: j.Name, Team: j.Team, Pool: j.Pool, Slice: slice, Kind: j.Kind, Priority: j.Priority,
		Region: j.Region, Tasks: j.Tasks, Need: j.Need, RunTime: j.RunTime,
		State: j.state(), Waiting: j.waitingTasks() + len(j.delayed), Running: len(j.running),
		Succeeded: j.good, Failed: len(j.failed), Unknown: len(j.unknown), Reason: j.reason,
	}
	if j.parked != "" {
		s.Waiting, s.Reason = j.Tasks-j.endedTasks()-len(j.running), j.parked
	}
	for _, a := range j.attempts() {
		s.Workers = append(s.Workers, a.worker.id)
	}
	return s
}
