package keep

import (
	"time"

	"endiveroute.example/endive"
)

// SendRequest is the action that allows a request to be sent to an executor, after its
// intent was recorded. The request may be sent only before its deadline. Its outcome
// must be reported in a RequestDone in any case.
type SendRequest struct {
	Tag      Tag
	Request  endive.RequestID
	Deadline time.Time
}

// IsAction marks SendRequest as an action.
func (SendRequest) IsAction() {}
