package route

import "endiveroute.example/endive"

// AttemptResult is the event that reports that an attempt has ended. Each
// Dispatch is followed by one AttemptResult, at the attempt's deadline at the
// latest.
type AttemptResult struct {
	Attempt endive.AttemptID
	Reply   endive.Reply
}

// IsEvent marks AttemptResult as an event.
func (AttemptResult) IsEvent() {}
