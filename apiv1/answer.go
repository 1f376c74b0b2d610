package apiv1

import "endiveroute.example/endive"

// RefusalKind says why a request was not run.
type RefusalKind string

// The kinds of refusals. Each has its own HTTP status.
const (
	// RefusalBusy means that the request couldn't have been answered before its
	// deadline (429).
	RefusalBusy RefusalKind = "busy"
	// RefusalUnavailable means that what the request needs is out of use (503).
	RefusalUnavailable RefusalKind = "unavailable"
	// RefusalUnknownService means that there is no such service (404).
	RefusalUnknownService RefusalKind = "service"
	// RefusalKeyConflict means that the key was used for another request (409).
	RefusalKeyConflict RefusalKind = "key"
	// RefusalMissingKey means that the service is configured as non-idempotent and
	// the request has no key (400). Without one, a caller that sends it again to
	// another entry after a lost answer would run it twice.
	RefusalMissingKey RefusalKind = "keyless"
)

// Answer is what became of a Request.
type Answer struct {
	Request endive.RequestID
	Outcome endive.Outcome
	// Status is the executor's HTTP status, for Answered.
	Status int
	// Body is the whole answer of the executor, for Answered.
	Body []byte
	// Repeated says that the outcome was recorded for an earlier request under
	// the same key.
	Repeated bool
	// Refusal is set for NotRun.
	Refusal RefusalKind
	// RetryAfter says when to try again, for NotRun.
	RetryAfter endive.Interval
	// AttemptOnly says, for NotRun under a key, that only this attempt is known not
	// to have run: what is recorded under the key couldn't be read.
	AttemptOnly bool
	// TimedOut says that the deadline passed, for Unknown.
	TimedOut bool
	// Reason says why there is no answer.
	Reason string
}
