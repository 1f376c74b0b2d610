package runner

import (
	"time"

	"endiveroute.example/endive"
)

// usageDelay is the delay between the start of a task and the first report of
// its usage.
const usageDelay = endive.Interval(time.Second)

// failAllRunTime is the run time of a task on a worker with fault FailAll.
const failAllRunTime = endive.Interval(10 * time.Millisecond)

// attempt is the state of one attempt to run a task on a worker.
type attempt struct {
	start     endive.StartTask
	payload   payload
	startTime time.Time
	// earlierRunTime is the run time up to the checkpoint from which the attempt
	// resumes.
	earlierRunTime endive.Interval
	// leaseEnd is the time at which the lease expires.
	leaseEnd time.Time
	// endTime is the time at which the task ends by itself; zero means never.
	endTime time.Time
	state   endive.TaskState
	reason  string
}

// stateAt returns the state of a running attempt at now, and the reason if it
// has failed or its lease has expired.
func (a *attempt) stateAt(now time.Time) (endive.TaskState, string) {
	ended := !a.endTime.IsZero() && !now.Before(a.endTime)
	expired := !now.Before(a.leaseEnd)
	switch {
	case expired && (!ended || a.leaseEnd.Before(a.endTime)):
		return endive.TaskStopped, reasonLeaseExpired
	case ended && a.payload.fail:
		return endive.TaskFailed, "the task failed"
	case ended:
		return endive.TaskSucceeded, ""
	}
	return endive.TaskRunning, ""
}

// reasonLeaseExpired is the reported reason of an attempt that was stopped
// because its lease expired.
const reasonLeaseExpired = "the lease expired"

// runTime returns the task's run time, including that of earlier attempts from
// whose checkpoint it resumed.
func (a *attempt) runTime(now time.Time) endive.Interval {
	return a.earlierRunTime + endive.Interval(now.Sub(a.startTime))
}

// report returns the worker's report about the attempt at now.
func (a *attempt) report(now time.Time) endive.TaskReport {
	report := endive.TaskReport{
		Task:    a.start.Task,
		Attempt: a.start.Attempt,
		State:   a.state,
		Need:    a.start.Need,
		Reason:  a.reason,
	}
	if a.state == endive.TaskRunning && !now.Before(usageDelay.After(a.startTime)) {
		report.Usage = a.payload.usage(a.start.Need)
	}
	return report
}
