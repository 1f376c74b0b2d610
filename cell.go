package endive

import "context"

// SubmitStatus says what became of a submission.
type SubmitStatus string

// The statuses of a submission.
const (
	// SubmitAccepted means that the workflow is stored, now or by an earlier
	// submission of the same id.
	SubmitAccepted SubmitStatus = "accepted"
	// SubmitRefused means that the workflow was turned away for lack of room: this
	// submission never runs.
	SubmitRefused SubmitStatus = "refused"
	// SubmitUnavailable means that it couldn't be stored: this submission never
	// runs.
	SubmitUnavailable SubmitStatus = "unavailable"
	// SubmitUnknown means that it may be stored; the same id can be sent again.
	SubmitUnknown SubmitStatus = "unknown"
)

// SubmitResult is the answer to a submission.
type SubmitResult struct {
	Status SubmitStatus
	// AlreadyStored says that an accepted workflow had been stored before.
	AlreadyStored bool
	// RetryAfter is when a refused caller should come back.
	RetryAfter Interval
	// Reason says why, for the log.
	Reason string
}

// QueueMatch is the queue that a caller's request belongs to.
type QueueMatch struct {
	Queue Queue
	// Rest is what follows the queue's prefix in the path.
	Rest string
	// ConfigVersion is the configuration that the match was made by; 0 where there
	// is none yet.
	ConfigVersion ConfigVersion
	Found         bool
}

// Cell is what callers ask of the entry.
type Cell interface {
	// Match finds the queue of a request.
	Match(host, path string) QueueMatch
	// Submit stores a workflow.
	Submit(ctx context.Context, match QueueMatch, workflow Workflow) SubmitResult
	// State returns the state of a workflow. Its error is of class ErrNotFound
	// where there is none, or ErrUnavailable.
	State(ctx context.Context, queue Queue, id JobID) (WorkflowState, error)
	// Cancel records that a workflow is to be cancelled. Its error is of class
	// ErrNotFound, ErrUnavailable or ErrUnknown.
	Cancel(ctx context.Context, queue Queue, id JobID) error
	// Pending counts the workflows of a queue of which no task has started. Its
	// error is of class ErrUnavailable.
	Pending(ctx context.Context, queue Queue) (int, error)
}
