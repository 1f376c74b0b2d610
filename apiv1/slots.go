package apiv1

import "endiveroute.example/endive"

// Slots is how the slots of an executor are shared out.
type Slots struct {
	Executor endive.ExecutorID  `json:"executor"`
	Service  endive.ServiceName `json:"service"`
	Region   endive.Region      `json:"region"`
	Zone     endive.Zone        `json:"zone"`
	State    endive.MemberState `json:"state"`
	// Owner is the entry that lends the slots.
	Owner endive.EntryID `json:"owner"`
	// Slots is how many the executor has.
	Slots int `json:"slots"`
	// Held is how many the asked entry has at hand, and Busy how many of these
	// have a request.
	Held int `json:"held"`
	Busy int `json:"busy"`
	// Lent is how many the asked entry has lent out, as the owner.
	Lent int `json:"lent"`
	// EjectionReason says why the executor gets no requests; empty if it does.
	EjectionReason string `json:"ejected,omitempty"`
}

// SlotList lists slots by executor.
type SlotList struct {
	Slots []Slots `json:"slots"`
}
