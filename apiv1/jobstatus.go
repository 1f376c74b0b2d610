package apiv1

import "endiveroute.example/endive"

// JobStatus is a job with its current state.
type JobStatus struct {
	Job   endive.Job     `json:"job"`
	State JobState       `json:"state"`
	Slice endive.SliceID `json:"slice,omitempty"`
	Tasks TaskCounts     `json:"tasks"`
	// Waiting is set if tasks of the job are waiting.
	Waiting *Explanation `json:"waiting,omitempty"`
	// Attempts lists the running attempts. It is set in the answer for a single job only.
	Attempts []Attempt `json:"attempts,omitempty"`
}
