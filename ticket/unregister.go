package ticket

// Unregister is the event of a planned stop. The entry no longer serves clients. The
// machine revokes the entry's registration in the table and then returns Unregistered.
type Unregister struct{}

// IsEvent marks Unregister as an event.
func (Unregister) IsEvent() {}

// Unregistered is the action that reports that no ticket waits for this entry any
// longer.
type Unregistered struct{}

// IsAction marks Unregistered as an action.
func (Unregistered) IsAction() {}
