package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// Tag matches an ApplyResult or a ConfigResult to its event. The caller of the machine
// chooses it.
type Tag uint64

// Apply is the event of an operator submitting a ticket. Its result is one
// ApplyResult.
type Apply struct {
	Tag    Tag
	Ticket endive.Ticket
	// Deadline is when the result must be returned at the latest.
	Deadline time.Time
}

// IsEvent marks Apply as an event.
func (Apply) IsEvent() {}
