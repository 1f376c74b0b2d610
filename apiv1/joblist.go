package apiv1

import "endiveroute.example/endive"

// JobList is one page of jobs in the order of their ids.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
	// Next is the value of JobQuery.After for the next page; empty on the last page.
	Next endive.JobID `json:"next,omitempty"`
}
