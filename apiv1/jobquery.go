package apiv1

import "endiveroute.example/endive"

// JobQuery selects jobs. Empty fields match all jobs.
type JobQuery struct {
	Team  endive.TeamName
	Name  endive.JobName
	State JobState
	// After is the id of the last job on the previous page.
	After endive.JobID
	Limit int
}

// Validate adds the findings about the query, as query parameters, to the given
// findings. The limit is checked where the query is parsed.
func (q JobQuery) Validate(f *endive.Findings) {
	if q.Team != "" {
		endive.ValidateName(f, "query team", string(q.Team))
	}
	if q.Name != "" {
		endive.ValidateName(f, "query name", string(q.Name))
	}
	switch q.State {
	case "", JobWaiting, JobRunning, JobSucceeded, JobFailed, JobCancelling, JobCancelled, JobParked, JobUnknown:
	default:
		f.Add("query state", "is not a job state; docs/API.md lists the states")
	}
	if len(q.After) > MaxID {
		f.Add("query after", "is %d bytes long; at most %d are allowed", len(q.After), MaxID)
	}
}
