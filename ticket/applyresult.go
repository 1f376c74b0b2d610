package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// ApplyResult is the action that returns the result of an Apply.
type ApplyResult struct {
	Tag    Tag
	Number endive.TicketNumber
	State  State
	// Revision is the table revision at which the ticket was written, if known.
	Revision endive.Revision
	// Unconfirmed is set if State is StatePending and the table service has not
	// yet confirmed that the ticket was written.
	Unconfirmed bool
	// Missing are the entries that haven't confirmed the ticket, sorted by ID.
	// They are set if State is StatePending.
	Missing []endive.EntryID
	// Conflict is the ticket that prevents the write, set if State is
	// StateConflict.
	Conflict Conflict
	// Findings are the errors in the ticket, set if State is StateInvalid.
	Findings endive.Findings
	// RetryAt is when the client may retry, set if State is StateUnavailable.
	RetryAt time.Time
}

// IsAction marks ApplyResult as an action.
func (ApplyResult) IsAction() {}
