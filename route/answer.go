package route

import (
	"time"

	"endiveroute.example/endive"
)

// Answer is the action that answers a client's request.
type Answer struct {
	Request endive.RequestID
	Outcome endive.Outcome
	// Status is the executor's HTTP status; 0 unless Outcome is Answered.
	Status int
	Body   []byte
	// RetryAt is when a client should retry a request that was not run; zero if
	// unknown.
	RetryAt time.Time
	// Reason is why the request was not answered.
	Reason string
}

// IsAction marks Answer as an action.
func (Answer) IsAction() {}
