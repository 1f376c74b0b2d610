package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// ApplyResult is the action of answering an Apply.
type ApplyResult struct {
	Tag    Tag
	Number endive.TicketNumber
	State  State
	// Revision is the change that wrote the ticket, where it is known.
	Revision endive.Revision
	// Unconfirmed says, for StatePending, that it isn't known yet whether the
	// ticket was written.
	Unconfirmed bool
	// Missing are the entries that haven't confirmed the ticket, in the order of
	// their ids, for StatePending.
	Missing []endive.EntryID
	// Conflict says who holds what, for StateConflict.
	Conflict Conflict
	// Findings are what is wrong, for StateInvalid.
	Findings endive.Findings
	// RetryAt is when a repeat may help, for StateUnavailable.
	RetryAt time.Time
}

// IsAction marks Answer as an action.
func (ApplyResult) IsAction() {}
