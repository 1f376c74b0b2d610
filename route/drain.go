package route

// Drain is the event of a planned stop: new requests are refused, and the
// queued and running ones are finished. Drained follows when none is left.
type Drain struct{}

// IsEvent marks Drain as an event.
func (Drain) IsEvent() {}

// Drained is the action that reports the completion of a Drain.
type Drained struct{}

// IsAction marks Drained as an action.
func (Drained) IsAction() {}
