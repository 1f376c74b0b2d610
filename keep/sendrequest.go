package keep

import (
	"time"

	"endiveroute.example/endive"
)

// SendRequest is the action of letting a request go to an executor: its intent is
// recorded. The request may be sent only before its deadline, and Done must
// follow.
type SendRequest struct {
	Tag      Tag
	Request  endive.RequestID
	Deadline time.Time
}

// IsAction marks Proceed as an action.
func (SendRequest) IsAction() {}
