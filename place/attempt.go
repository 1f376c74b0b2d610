package place

import (
	"strconv"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// taskLost is how the holder notes an end that no worker reported.
const taskLost endive.TaskState = "lost"

type attemptState int

const (
	// attemptRecording waits for its start row.
	attemptRecording attemptState = iota
	// attemptQueued waits for its command.
	attemptQueued
	// attemptSent may run.
	attemptSent
	// attemptRunning was reported.
	attemptRunning
)

// stopReason says why a worker is told to stop an attempt.
type stopReason int

const (
	stopNone stopReason = iota
	stopCancel
	stopPreempt
	stopGangRestart
	// stopOrphan is for an attempt that isn't the task's current one.
	stopOrphan
)

// attempt is a task that is, or may be, on a worker.
type attempt struct {
	id   endive.AttemptID
	task endive.TaskID
	// job is nil for an orphan, and until the jobs are loaded.
	job        *job
	index      int
	worker     *worker
	need       endive.Resources
	state      attemptState
	stopReason stopReason
	// stopSent says that the stop is in a command.
	stopSent   bool
	checkpoint bool
	// reportedSequence is the sequence of the last command whose answer listed the attempt.
	reportedSequence uint64
	startedAt        time.Time
	// expectedEnd is when the task is expectedEnd to end.
	expectedEnd time.Time
}

// exclusive reports whether the task must not run twice at the same time.
func (a *attempt) exclusive() bool { return a.job == nil || a.job.Kind != endive.KindWatcher }

// renewable reports whether the attempt's lease should go on.
func (a *attempt) renewable() bool {
	return a.state >= attemptSent && (a.stopReason == stopNone || a.checkpoint)
}

// taskID names a task of a job.
func taskID(job endive.JobID, index int) endive.TaskID {
	return endive.TaskID(string(job) + "." + strconv.Itoa(index))
}

// parseTask returns the job and index of a task, or index -1 where the id isn't
// one of ours.
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

// newAttempt makes an attempt that no other attempt of any holder shares its id
// with.
func (m *Machine) newAttempt(j *job, index int) *attempt {
	m.attemptCount++
	task := taskID(j.ID, index)
	id := string(task) + "@" + strconv.FormatUint(uint64(m.lease.Epoch), 10) + "." + strconv.FormatUint(m.attemptCount, 10)
	return &attempt{id: endive.AttemptID(id), task: task, job: j, index: index, need: j.Need}
}
