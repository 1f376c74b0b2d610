package route

import "endiveroute.example/endive"

// Snapshot is the event that requests the current state. The answer is a State
// with the same tag.
type Snapshot struct {
	Tag string
}

// IsEvent marks Snapshot as an event.
func (Snapshot) IsEvent() {}

// State is the action that answers a Snapshot.
type State struct {
	Tag       string
	Services  []ServiceState
	Executors []ExecutorState
}

// IsAction marks State as an action.
func (State) IsAction() {}

// ServiceState describes a service at this entry.
type ServiceState struct {
	Service endive.ServiceName `json:"service"`
	Waiting int                `json:"waiting"`
	Running int                `json:"running"`
	// ServiceTime is the mean service time of one request.
	ServiceTime endive.Interval `json:"serviceTime"`
	// IdleSlots is the number of further requests that this entry may start
	// now.
	IdleSlots int `json:"idleSlots"`
}

// ExecutorState describes an executor at this entry.
type ExecutorState struct {
	Executor endive.ExecutorID  `json:"executor"`
	Service  endive.ServiceName `json:"service"`
	State    endive.MemberState `json:"state"`
	// Ejected is set while the executor gets only probes.
	Ejected     bool            `json:"ejected,omitempty"`
	Running     int             `json:"running"`
	FreeSlots   int             `json:"freeSlots"`
	FailureRate float64         `json:"failureRate"`
	ServiceTime endive.Interval `json:"serviceTime"`
	// Owner is the entry that lends the executor's slots. Lent is the number of
	// slots that this entry has lent if it is the owner. Both are empty for
	// implementations of endive.Slots without owners.
	Owner endive.EntryID `json:"owner,omitempty"`
	Lent  int            `json:"lent,omitempty"`
}
