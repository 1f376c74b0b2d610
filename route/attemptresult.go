package route

import "endiveroute.example/endive"

// AttemptResult is the event of an attempt's end. Each Dispatch is followed by
// one, at the attempt's deadline at the latest.
type AttemptResult struct {
	Attempt endive.AttemptID
	Reply   endive.Reply
}

// IsEvent marks Replied as an event.
func (AttemptResult) IsEvent() {}
