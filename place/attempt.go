package place

import (
	"strconv"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// taskLost is the state that the holder gives to an attempt of which no worker
// has reported that it ended.
const taskLost endive.TaskState = "lost"

type attemptState int

const (
	// attemptRecording: the start has to be recorded in the table first.
	attemptRecording attemptState = iota
	// attemptQueued: the start goes into the worker's next command.
	attemptQueued
	// attemptSent: the start was sent, so the attempt may be running.
	attemptSent
	// attemptRunning: the worker has reported the attempt as running.
	attemptRunning
)

// stopReason is the reason for stopping an attempt.
type stopReason int

const (
	stopNone stopReason = iota
	stopCancel
	stopPreempt
	stopGangRestart
	// stopOrphan stops an attempt that isn't the current one of any task.
	stopOrphan
)

// attempt is one execution of a task that is, or may be, on a worker.
type attempt struct {
	id   endive.AttemptID
	task endive.TaskID
	// job is nil for an orphan, and for every reported attempt until the jobs are
	// loaded.
	job        *job
	index      int
	worker     *worker
	need       endive.Resources
	state      attemptState
	stopReason stopReason
	// stopSent is set once a command has carried the stop.
	stopSent   bool
	checkpoint bool
	// reportedSequence is the sequence of the latest command whose report listed
	// the attempt.
	reportedSequence uint64
	startedAt        time.Time
	// leaseExpired is true if the attempt's lease has expired while its worker didn't answer.
	leaseExpired bool
	// expectedEnd is when the attempt should end according to the job's expected
	// run time.
	expectedEnd time.Time
}

// exclusive reports whether two attempts of the task must never run at the same
// time. Only watchers may.
func (a *attempt) exclusive() bool { return a.job == nil || a.job.Kind != endive.KindWatcher }

// renewable reports whether the attempt's lease is to be renewed.
func (a *attempt) renewable() bool {
	return a.state >= attemptSent && (a.stopReason == stopNone || a.checkpoint)
}

// taskID returns the id of a job's task.
func taskID(job endive.JobID, index int) endive.TaskID {
	return endive.TaskID(string(job) + "." + strconv.Itoa(index))
}

// parseTask returns the job and the index that a task id consists of. The index
// is -1 if the id is malformed.
func parseTask(id endive.TaskID) (endive.JobID, int) {
	dot := strings.LastIndexByte(string(id), '.')
	if dot < 0 {
		return "", -1
	}
	index, err := strconv.Atoi(string(id[dot+1:]))
	if err != nil || index < 0 {
		return "", -1
	}
	return endive.JobID(id[:dot]), index
}

// newAttempt returns an attempt whose id is unique among the attempts of all
// holders.
func (m *Machine) newAttempt(j *job, index int) *attempt {
	m.attemptCount++
	task := taskID(j.ID, index)
	id := string(task) + "@" + strconv.FormatUint(uint64(m.lease.Epoch), 10) + "." + strconv.FormatUint(m.attemptCount, 10)
	return &attempt{id: endive.AttemptID(id), task: task, job: j, index: index, need: j.Need}
}
