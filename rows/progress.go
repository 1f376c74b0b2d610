package rows

import "endiveroute.example/endive"

// TaskStart records that a non-idempotent task may have been started.
type TaskStart struct {
	Worker  endive.WorkerID  `json:"worker"`
	Attempt endive.AttemptID `json:"attempt"`
}

// Progress is what the table keeps of the tasks of a job, by their index. Tasks
// that aren't named still have all of their attempts.
type Progress struct {
	// Succeeded has a bit for each task, the lowest first.
	Succeeded []byte `json:"succeeded,omitempty"`
	// Attempts counts the failed attempts of tasks.
	Attempts map[int]int `json:"attempts,omitempty"`
	// Failed lists the tasks that get no more attempts.
	Failed []int `json:"failed,omitempty"`
	// Unknown lists the non-idempotent tasks whose end nobody saw.
	Unknown []int `json:"unknown,omitempty"`
	// Started holds the starts of non-idempotent tasks without a recorded end.
	Started map[int]TaskStart `json:"started,omitempty"`
	// Checkpointed lists the tasks that left a checkpoint.
	Checkpointed []int `json:"resume,omitempty"`
}
