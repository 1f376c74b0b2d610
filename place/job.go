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
	// requeued lists tasks to be placed once more; from next on, none was tried.
	requeued  []int
	nextIndex int

	running map[int]*attempt
	// racks counts the running tasks of a watcher by rack.
	racks          map[endive.Rack]int
	delayed        map[int]bool
	failures       map[int]int
	losses         map[int]int
	succeeded      bitmap
	checkpointed   map[int]bool
	recordedStarts map[int]rows.TaskStart
	// failed and unknown are final.
	failed       []int
	unknown      []int
	unsuccessful map[int]bool
	// succeededCount counts the succeeded tasks.
	succeededCount int

	cancelled bool
	// ended is set with the final status.
	ended  bool
	queued bool
	// awaitsTakeover says that the tasks may run on a worker that hasn't answered yet.
	awaitsTakeover bool
	// parkReason says why no worker can ever hold a task.
	parkReason string
	// unreadable says that the progress row is broken; nothing is started.
	unreadable bool
	// gangRestarting says that all tasks of a gang are stopped to start together again.
	gangRestarting bool
	// countedWaiting is how many waiting tasks the machine's totals hold.
	countedWaiting int
	team           *team
	// claims are workers that tasks are preempted on for this job.
	claims []claim
	// triedAtVersion is what had been freed when the gang was tried last.
	triedAtVersion uint64
	// reservationStart is kept over reservations, so that a gang can't starve.
	reservationStart time.Time

	// dirty says that the progress has to be recorded.
	dirty          bool
	progressStored bool
	startsToRecord []*attempt
	forgets        []forget
	// lastReason is of the last failure.
	lastReason string
}

// forget is an ended attempt whose worker may forget it once the end is
// recorded.
type forget struct {
	worker  endive.WorkerID
	attempt endive.AttemptID
}

// endedTasks counts the tasks that have ended for good.
func (j *job) endedTasks() int { return j.succeededCount + len(j.failed) + len(j.unknown) }

// waitingTasks counts the tasks that could start now.
func (j *job) waitingTasks() int {
	if j.cancelled || j.ended || j.unreadable || j.parkReason != "" {
		return 0
	}
	return j.Tasks - j.endedTasks() - len(j.running) - len(j.delayed)
}

// startable reports whether the task is neither ended nor running nor delayed.
func (j *job) startable(index int) bool {
	return index < j.Tasks && j.running[index] == nil && !j.delayed[index] && !j.taskEnded(index)
}

// taskEnded reports whether the task has ended for good.
func (j *job) taskEnded(index int) bool { return j.succeeded.has(index) || j.unsuccessful[index] }

// nextTask returns a task to start next, or -1.
func (j *job) nextTask() int {
	for len(j.requeued) > 0 {
		index := j.requeued[0]
		j.requeued = j.requeued[1:]
		if j.startable(index) {
			return index
		}
	}
	for j.nextIndex < j.Tasks {
		index := j.nextIndex
		j.nextIndex++
		if j.startable(index) {
			return index
		}
	}
	return -1
}

// markEnded notes that a task has failed or ended unseen, for good.
func (j *job) markEnded(index int, state endive.JobState) {
	if j.taskEnded(index) {
		return
	}
	if j.unsuccessful == nil {
		j.unsuccessful = make(map[int]bool)
	}
	j.unsuccessful[index] = true
	if state == endive.JobUnknown {
		j.unknown = append(j.unknown, index)
		return
	}
	j.failed = append(j.failed, index)
}

// markSucceeded notes that a task has succeeded.
func (j *job) markSucceeded(index int) {
	if j.taskEnded(index) {
		return
	}
	j.succeeded = j.succeeded.with(index, j.Tasks)
	j.succeededCount++
}

// addAttempt notes the current attempt of a task.
func (j *job) addAttempt(a *attempt) {
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

// removeAttempt notes that a task has no current attempt any more.
func (j *job) removeAttempt(a *attempt) {
	delete(j.running, a.index)
	if j.Kind == endive.KindWatcher {
		j.racks[a.worker.rack]--
	}
}

// attemptsInOrder returns the current attemptsInOrder in the order of their tasks.
func (j *job) attemptsInOrder() []*attempt {
	list := make([]*attempt, 0, len(j.running))
	for _, a := range j.running {
		list = append(list, a)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].index < list[k].index })
	return list
}

// restoreProgress takes over the recorded progress.
func (j *job) restoreProgress(p rows.Progress) {
	j.succeeded = bitmap(p.Succeeded)
	j.succeededCount = j.succeeded.count()
	j.failures, j.recordedStarts = p.Attempts, p.Started
	for _, index := range p.Failed {
		j.markEnded(index, endive.JobFailed)
	}
	for _, index := range p.Unknown {
		j.markEnded(index, endive.JobUnknown)
	}
	for _, index := range p.Checkpointed {
		j.markCheckpointed(index)
	}
	j.progressStored = true
}

func (j *job) markCheckpointed(index int) {
	if j.checkpointed == nil {
		j.checkpointed = make(map[int]bool)
	}
	j.checkpointed[index] = true
}

// progress returns what the table should keep.
func (j *job) progress() rows.Progress {
	p := rows.Progress{
		Succeeded: j.succeeded, Attempts: j.failures, Failed: j.failed, Unknown: j.unknown, Started: j.recordedStarts,
	}
	for index := range j.checkpointed {
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
	case j.parkReason != "":
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
		Succeeded: j.succeededCount, Failed: len(j.failed), Unknown: len(j.unknown), Reason: j.lastReason,
	}
	if j.parkReason != "" {
		s.Waiting, s.Reason = j.Tasks-j.endedTasks()-len(j.running), j.parkReason
	}
	for _, a := range j.attemptsInOrder() {
		s.Workers = append(s.Workers, a.worker.id)
	}
	return s
}
