package endive

import "context"

// TaskState is the state of a task as reported by its worker.
type TaskState string

// The states that a worker reports.
const (
	TaskRunning   TaskState = "running"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	// TaskStopped means that the worker stopped the task on request, or because its
	// lease expired.
	TaskStopped TaskState = "stopped"
	// TaskCheckpointed means that the worker saved the task's progress and stopped it.
	TaskCheckpointed TaskState = "checkpointed"
)

// TaskReport is a worker's report of one attempt to run a task.
type TaskReport struct {
	Task    TaskID    `json:"task"`
	Attempt AttemptID `json:"attempt"`
	State   TaskState `json:"state"`
	Need    Resources `json:"need"`
	// Usage is the measured resource usage of the task. It may be out of date.
	Usage  Resources `json:"usage"`
	Reason string    `json:"reason,omitempty"`
}

// StartTask orders a worker to run a task.
type StartTask struct {
	Task    TaskID    `json:"task"`
	Attempt AttemptID `json:"attempt"`
	JobName JobName   `json:"jobName"`
	Need    Resources `json:"need"`
	Payload string    `json:"payload,omitempty"`
	// Resume is true if an earlier attempt left a checkpoint.
	Resume bool `json:"resume,omitempty"`
}

// StopTask orders a worker to stop an attempt.
type StopTask struct {
	Attempt    AttemptID `json:"attempt"`
	Checkpoint bool      `json:"checkpoint,omitempty"`
}

// WorkerCommand is a message to a worker. It renews the leases of the listed attempts,
// starts and stops others, and requests a report of all.
type WorkerCommand struct {
	Slice SliceID `json:"slice"`
	// Epoch is the sender's epoch. A worker refuses a lower epoch than the highest it
	// has received for the slice, and adopts a higher one.
	Epoch Epoch `json:"epoch"`
	// Sequence orders the commands of an epoch. A worker refuses a command after it
	// has received one with a higher sequence number.
	Sequence uint64 `json:"sequence"`
	// LeaseMillis is the duration of the leases from the receipt of this command, in
	// milliseconds.
	LeaseMillis int64 `json:"leaseMillis"`
	// Renew lists the attempts whose leases are renewed.
	Renew []AttemptID `json:"renew,omitempty"`
	Start []StartTask `json:"start,omitempty"`
	Stop  []StopTask  `json:"stop,omitempty"`
	// Forget lists ended attempts whose reports have been stored, so that the worker
	// can delete them.
	Forget []AttemptID `json:"forget,omitempty"`
}

// WorkerReport is a worker's response to a command: all running attempts, and all
// ended attempts that no command has listed in Forget.
type WorkerReport struct {
	Worker WorkerID `json:"worker"`
	// Epoch is the highest epoch that the worker has received for the slice.
	Epoch Epoch `json:"epoch"`
	// Refused is the reason why the worker refused the command; empty if it didn't.
	Refused string       `json:"refused,omitempty"`
	Leaving bool         `json:"leaving,omitempty"`
	Size    Resources    `json:"size"`
	Tasks   []TaskReport `json:"tasks"`
}

// Workers sends commands to workers.
type Workers interface {
	// Send delivers one command. Its error is of class ErrUnavailable (the worker
	// didn't receive it) or ErrUnknown (the worker may have received it).
	Send(ctx context.Context, to Address, command WorkerCommand) (WorkerReport, error)
}
