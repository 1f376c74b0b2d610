package ticket

// Unregister is the event of a planned stop: the entry answers no callers any more.
// The keeper takes the entry's row out of the table, and says so by Left.
type Unregister struct{}

// IsEvent marks Leave as an event.
func (Unregister) IsEvent() {}

// Unregistered is the action of saying that no ticket waits for this entry any more.
type Unregistered struct{}

// IsAction marks Left as an action.
func (Unregistered) IsAction() {}
