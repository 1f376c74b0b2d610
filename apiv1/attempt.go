package apiv1

import "endiveroute.example/endive"

// Attempt is one attempt at a task on a worker.
type Attempt struct {
	Task    endive.TaskID    `json:"task"`
	Attempt endive.AttemptID `json:"attempt"`
	Worker  endive.WorkerID  `json:"worker"`
}
