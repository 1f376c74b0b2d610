package apiv1

// Explanation describes why tasks of a job are waiting.
type Explanation struct {
	// Summary is one sentence about why the tasks are waiting.
	Summary string `json:"summary"`
	// Ahead is the number of tasks ahead in the queue.
	Ahead int `json:"ahead,omitempty"`
	// Reasons list why workers can't run the tasks, each with the number of workers.
	Reasons []string `json:"reasons,omitempty"`
}
