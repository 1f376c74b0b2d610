package endive

import "context"

// SubmitStatus is the result of a submission.
type SubmitStatus string

// The statuses of a submission.
const (
	// SubmitAccepted means that the workflow is stored, by this submission or by an
	// earlier one with the same id.
	SubmitAccepted SubmitStatus = "accepted"
	// SubmitRefused means that the workflow was rejected because of overload. This
	// submission never runs.
	SubmitRefused SubmitStatus = "refused"
	// SubmitNotOwner means that another account's workflow has the id. This submission never
	// runs.
	SubmitNotOwner SubmitStatus = "notOwner"
	// SubmitRevoked means that the workflow was cancelled before it was stored. It never
	// runs.
	SubmitRevoked SubmitStatus = "revoked"
	// SubmitImpossible means that the workflow can't run within its account's cap, or that
	// the store can't take a row of its size. This submission never runs.
	SubmitImpossible SubmitStatus = "impossible"
	// SubmitUnavailable means that the workflow couldn't be stored. This submission
	// never runs.
	SubmitUnavailable SubmitStatus = "unavailable"
	// SubmitUnknown means that the workflow may or may not be stored. The client can
	// retry with the same id.
	SubmitUnknown SubmitStatus = "unknown"
)

// SubmitResult is the response to a submission.
type SubmitResult struct {
	Status SubmitStatus
	// AlreadyStored is true if an earlier submission stored the accepted workflow.
	AlreadyStored bool
	// RetryAfter is how long a client should wait before it retries a refused
	// submission.
	RetryAfter Interval
	// Reason explains the status in the log.
	Reason string
}

// QueueMatch is the queue that a client's request is addressed to.
type QueueMatch struct {
	Queue Queue
	// Rest is the part of the request path after the queue's prefix.
	Rest string
	// ConfigVersion is the version of the configuration used for the match; 0 if no
	// configuration has been loaded yet.
	ConfigVersion ConfigVersion
	Found         bool
	// Caller is who makes the request, and Access whether that caller may use the queue.
	Caller Caller
	Access Access
}

// Access is the result of authenticating a request by its key.
type Access int

// The results of authenticating a request.
const (
	// AccessDenied means that the queue isn't public and the key is missing, or that the key
	// isn't known.
	AccessDenied Access = iota
	AccessGranted
	// AccessUnconfirmed means that the entry can't confirm its configuration, which may have
	// withdrawn the key.
	AccessUnconfirmed
)

// Cell is the interface through which an entry serves the requests of its clients.
type Cell interface {
	// Match finds the queue that a request is addressed to and authenticates the request by
	// its key, which is empty if the request has none.
	Match(host, path, key string) QueueMatch
	// Submit stores a workflow for execution.
	Submit(ctx context.Context, match QueueMatch, workflow Workflow) SubmitResult
	// State returns the state of a workflow. The error is of class ErrNotFound if
	// the caller has no such workflow, or ErrUnavailable.
	State(ctx context.Context, queue Queue, caller Caller, id JobID) (WorkflowState, error)
	// Cancel stores a request to cancel a workflow. The error is of class
	// ErrNotFound, ErrUnavailable or ErrUnknown.
	Cancel(ctx context.Context, queue Queue, caller Caller, id JobID) error
	// Pending counts the workflows of a queue that have not started any task. The
	// error is of class ErrUnavailable.
	Pending(ctx context.Context, queue Queue) (int, error)
}
