package shell

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// newJobStatus converts a job's status to the API's type.
func newJobStatus(status endive.JobStatus) apiv1.JobStatus {
	result := apiv1.JobStatus{
		Job: endive.Job{
			ID: status.Job, Name: status.Name, Team: status.Team, Pool: status.Pool, Kind: status.Kind,
			Priority: status.Priority, Region: status.Region, Tasks: status.Tasks, Need: status.Need, RunTime: status.RunTime,
		},
		State: jobState(status.State),
		Slice: status.Slice,
		Tasks: apiv1.TaskCounts{
			Waiting: status.Waiting, Running: status.Running, Succeeded: status.Succeeded,
			Failed: status.Failed, Unknown: status.Unknown, Cancelled: cancelledTasks(status),
		},
	}
	if status.Reason != "" {
		result.Waiting = &apiv1.Explanation{Summary: status.Reason}
	}
	for _, w := range status.Workers {
		result.Attempts = append(result.Attempts, apiv1.Attempt{Worker: w})
	}
	return result
}

func jobState(state endive.JobState) apiv1.JobState {
	if state == endive.JobQueued {
		return apiv1.JobWaiting
	}
	return apiv1.JobState(state)
}

// cancelledTasks returns the number of tasks of a cancelled job that the
// cancellation ended or prevented from starting.
func cancelledTasks(status endive.JobStatus) int {
	if status.State != endive.JobCancelled {
		return 0
	}
	return max(0, status.Tasks-status.Succeeded-status.Failed-status.Unknown-status.Running)
}
