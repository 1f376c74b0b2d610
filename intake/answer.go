package intake

import "endiveroute.example/endive"

// Status is the result of a submission or cancellation.
type Status string

// The statuses of an Answer.
const (
	// Accepted means that the job or cancellation is recorded.
	Accepted Status = "accepted"
	// Refused means that the input is invalid. Findings has the reasons.
	Refused Status = "refused"
	// Conflict means that another job was submitted under the same key.
	Conflict Status = "conflict"
	// NotFound means that the job to cancel doesn't exist.
	NotFound Status = "notFound"
	// Ended means that the job to cancel has already ended.
	Ended Status = "ended"
	// Unavailable means that nothing was recorded.
	Unavailable Status = "unavailable"
	// Unknown means that the table service didn't answer, so the job may be
	// recorded. It is safe to repeat the same submission under the same key.
	Unknown Status = "unknown"
)

// Answer is the action of answering a Submit or Cancel.
type Answer struct {
	Tag    Tag
	Status Status
	Job    endive.JobID
	Slice  endive.SliceID
	// Repeated is set if an earlier submission of the same key was accepted.
	Repeated bool
	Findings endive.Findings
	// RetryAfter is how long the client should wait before a retry, for Unavailable
	// and Unknown.
	RetryAfter endive.Interval
}

// IsAction marks Answer as an action.
func (Answer) IsAction() {}
