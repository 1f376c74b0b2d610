package ticket

// State is the result of applying a ticket.
type State string

// The states of a ticket.
const (
	// StatePending means that the ticket is not yet in force on every entry.
	// The ticket may not even be written: see ApplyResult.Unconfirmed. Applying
	// the same ticket again returns its current state.
	StatePending State = "pending"
	// StateInForce means that every entry that serves clients uses this ticket or a
	// later one.
	StateInForce State = "inForce"
	// StateConflict means that a ticket with the same or a higher number has already
	// set one of the resources, or that the number is in use. Nothing was written.
	StateConflict State = "conflict"
	// StateInvalid means that the ticket is invalid. Nothing was written.
	StateInvalid State = "invalid"
	// StateUnavailable means that the table service was unreachable. Nothing was
	// written.
	StateUnavailable State = "unavailable"
)
