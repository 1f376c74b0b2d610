package apiv1

import "endiveroute.example/endive"

// RefusalKind is the kind of reason why a request was not run.
type RefusalKind string

// The kinds of refusals. Each has its own HTTP status.
const (
	// RefusalBusy means that the request couldn't have been answered before its
	// deadline (429).
	RefusalBusy RefusalKind = "busy"
	// RefusalUnavailable means that a resource that the request needs is unavailable (503).
	RefusalUnavailable RefusalKind = "unavailable"
	// RefusalUnknownService means that the service doesn't exist (404).
	RefusalUnknownService RefusalKind = "service"
	// RefusalKeyConflict means that the key was used for another request (409).
	RefusalKeyConflict RefusalKind = "key"
	// RefusalMissingKey means that the service is configured as non-idempotent and
	// the request has no key (400). Without a key, a client that sends the request
	// again to another entry after a lost answer would run it twice.
	RefusalMissingKey RefusalKind = "keyless"
)

// Answer is the outcome of a Request.
type Answer struct {
	Request endive.RequestID
	Outcome endive.Outcome
	// Status is the executor's HTTP status, set if Outcome is Answered.
	Status int
	// Body is the complete body of the executor's response, set if Outcome is
	// Answered.
	Body []byte
	// Repeated reports whether the outcome was recorded for an earlier request with the
	// same key.
	Repeated bool
	// Refusal is the kind of refusal, set if Outcome is NotRun.
	Refusal RefusalKind
	// RetryAfter is the time to wait before trying again, set if Outcome is
	// NotRun.
	RetryAfter endive.Interval
	// AttemptOnly reports, for NotRun with a key, that NotRun holds for this attempt only:
	// the outcome recorded with the key couldn't be read, and an earlier attempt may have run.
	AttemptOnly bool
	// TimedOut reports, if Outcome is Unknown, whether the deadline passed.
	TimedOut bool
	// Reason is the reason why there is no answer.
	Reason string
}
