package place

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// job is an accepted job with the state of its tasks. Maps by int are keyed by
// the task's index.
type job struct {
	endive.Job
	// seq numbers the jobs in the order in which the machine first read them.
	seq uint64
	// requeued lists tasks that have to be placed again. Tasks from nextIndex on
	// have never been placed.
	requeued  []int
	nextIndex int

	running map[int]*attempt
	// racks counts a watcher's running tasks per rack.
	racks          map[endive.Rack]int
	delayed        map[int]bool
	failures       map[int]int
	failedAttempts map[int][]endive.AttemptID
	// losses counts the tasks' attempts whose workers have surely crashed. expiries counts those whose leases
	// expired on silent workers, which may only have been cut off.
	losses, expiries map[int]int
	succeeded        bitmap
	checkpointed     map[int]bool
	recordedStarts   map[int]rows.TaskStart
	// failed and unknown list the tasks that have ended without success and are not
	// retried.
	failed         []int
	unknown        []int
	unsuccessful   map[int]bool
	succeededCount int

	cancelled bool
	// ended is set once the job has its final state.
	ended  bool
	queued bool
	// awaitsTakeover is set while tasks of the job may run on a worker that
	// hasn't answered this holder yet. No task of the job is started meanwhile.
	awaitsTakeover bool
	// parkReason is set if the slice's workers can't run the job even when empty,
	// and says why.
	parkReason string
	// unreadable is set if the progress row can't be decoded. No task of the job is
	// started in that case.
	unreadable bool
	// gangRestarting is set while all tasks of a gang are being stopped in order to
	// start together again.
	gangRestarting bool
	// countedWaiting is the number of the job's waiting tasks that the machine's
	// totals include.
	countedWaiting int
	team           *team
	// claims lists the capacity that is claimed on workers for this job by
	// preempting other tasks.
	claims []claim
	// triedAtVersion is the machine's capacityVersion at the last attempt to place
	// the gang.
	triedAtVersion uint64
	// reservationStart is the start of the gang's first reservation. Later
	// reservations keep it, so that a gang can't starve.
	reservationStart time.Time

	// dirty is set while the progress has to be written to the table.
	dirty          bool
	progressStored bool
	startsToRecord []*attempt
	forgets        []forget
	// lastReason describes the job's latest failure, loss or cancellation.
	lastReason string
}

// forget names an ended attempt on a worker. Once the end of the attempt is
// recorded in the table, a command has the worker forget the attempt.
type forget struct {
	worker  endive.WorkerID
	attempt endive.AttemptID
}

// endedTasks counts the tasks that have ended and won't be retried.
func (j *job) endedTasks() int { return j.succeededCount + len(j.failed) + len(j.unknown) }

// waitingTasks counts the tasks that are ready to start.
func (j *job) waitingTasks() int {
	if j.cancelled || j.ended || j.unreadable || j.parkReason != "" {
		return 0
	}
	return j.Tasks - j.endedTasks() - len(j.running) - len(j.delayed)
}

// startable reports whether the task has not ended, is not running and does not
// wait for a backoff.
func (j *job) startable(index int) bool {
	return index < j.Tasks && j.running[index] == nil && !j.delayed[index] && !j.taskEnded(index)
}

// taskEnded reports whether the task has ended and won't be retried.
func (j *job) taskEnded(index int) bool { return j.succeeded.has(index) || j.unsuccessful[index] }

// nextTask removes the next task to start and returns its index, or -1 if there
// is none.
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

// markEnded records that a task has ended as failed or unknown and won't be
// retried.
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

// markSucceeded records that a task has succeeded.
func (j *job) markSucceeded(index int) {
	if j.taskEnded(index) {
		return
	}
	j.succeeded = j.succeeded.with(index, j.Tasks)
	j.succeededCount++
}

// addAttempt makes an attempt the current one of its task.
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

// removeAttempt removes the current attempt of a task.
func (j *job) removeAttempt(a *attempt) {
	delete(j.running, a.index)
	if j.Kind == endive.KindWatcher {
		j.racks[a.worker.rack]--
	}
}

// attemptsInOrder returns the current attempts in the order of their tasks.
func (j *job) attemptsInOrder() []*attempt {
	list := make([]*attempt, 0, len(j.running))
	for _, a := range j.running {
		list = append(list, a)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].index < list[k].index })
	return list
}

// restoreProgress restores the tasks' state from the progress row.
func (j *job) restoreProgress(p rows.Progress) {
	j.succeeded = bitmap(p.Succeeded)
	j.succeededCount = j.succeeded.count()
	j.failures, j.failedAttempts, j.recordedStarts = p.Attempts, p.FailedAttempts, p.Started
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

// progress returns the tasks' state as the progress row stores it.
func (j *job) progress() rows.Progress {
	p := rows.Progress{
		Succeeded: j.succeeded, Attempts: j.failures, FailedAttempts: j.failedAttempts, Failed: j.failed, Unknown: j.unknown, Started: j.recordedStarts,
	}
	for index := range j.checkpointed {
		p.Checkpointed = append(p.Checkpointed, index)
	}
	sort.Ints(p.Checkpointed)
	return p
}

// state returns the job's state as operators see it.
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

// status returns the job's status as operators see it.
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
