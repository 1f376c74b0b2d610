package endive

import "time"

// Event is one input of a Machine. Each role documents its own events; Wake is
// common to all.
type Event interface{ IsEvent() }

// Action is one output of a Machine. Each role documents its own actions; SetWake,
// Send and Decision are common to all.
type Action interface{ IsAction() }

// Machine is the decision logic of one role. It does no I/O, starts no goroutine and
// reads no clock, and is therefore deterministic: the same steps return the same
// actions. A Machine is not safe for concurrent use.
type Machine interface {
	// Step processes one event at the monotonic time now and returns the actions to
	// execute, in order. The time never decreases between steps.
	Step(now time.Time, event Event) []Action
}

// Wake is the timer event that a SetWake requested. It may arrive late, and a Wake of
// a replaced timer may still arrive.
type Wake struct{}

// IsEvent marks Wake as an event.
func (Wake) IsEvent() {}

// SetWake is the action that requests one Wake at the given time. It replaces the
// previous timer of the same machine.
type SetWake struct {
	At time.Time
}

// IsAction marks SetWake as an action.
func (SetWake) IsAction() {}
