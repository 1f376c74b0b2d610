package rows

import "endiveroute.example/endive"

// TaskStart records that a non-idempotent task may have been started.
type TaskStart struct {
	Worker  endive.WorkerID  `json:"worker"`
	Attempt endive.AttemptID `json:"attempt"`
}

// Progress is the stored state of a job's tasks, identified by their index in the job.
// Tasks that it doesn't list have not used any attempt.
type Progress struct {
	// Succeeded is a bitmap of the successful tasks. Task 0 is the lowest bit of the first
	// byte.
	Succeeded []byte `json:"succeeded,omitempty"`
	// Attempts is the number of failed attempts of each task.
	Attempts map[int]int `json:"attempts,omitempty"`
	// FailedAttempts has the ids of these attempts, so that each counts once even if the worker reports its end
	// to the next holder again. Earlier builds don't write it.
	FailedAttempts map[int][]endive.AttemptID `json:"failedAttempts,omitempty"`
	// Failed lists the tasks that get no more attempts.
	Failed []int `json:"failed,omitempty"`
	// Unknown lists the non-idempotent tasks that may or may not have run to their end.
	Unknown []int `json:"unknown,omitempty"`
	// Started holds the starts of non-idempotent tasks that have no recorded result.
	Started map[int]TaskStart `json:"started,omitempty"`
	// Checkpointed lists the tasks that have a checkpoint to resume from.
	Checkpointed []int `json:"resume,omitempty"`
}
