package apiv1

import "endiveroute.example/endive"

// Slots describes the slots of an executor, and how many of them the queried entry holds
// and lends.
type Slots struct {
	Executor endive.ExecutorID  `json:"executor"`
	Service  endive.ServiceName `json:"service"`
	Region   endive.Region      `json:"region"`
	Zone     endive.Zone        `json:"zone"`
	State    endive.MemberState `json:"state"`
	// Owner is the entry that owns the slots and lends them to other entries.
	Owner endive.EntryID `json:"owner"`
	// Slots is the number of slots of the executor.
	Slots int `json:"slots"`
	// Held is the number of slots that the queried entry holds, and Busy is the
	// number of held slots that are running a request.
	Held int `json:"held"`
	Busy int `json:"busy"`
	// Lent is the number of slots that the queried entry, as the owner, has lent.
	Lent int `json:"lent"`
	// EjectionReason is the reason why the executor gets no requests; empty if it gets
	// requests.
	EjectionReason string `json:"ejected,omitempty"`
}

// SlotList is the answer to the call that lists the slots of each executor.
type SlotList struct {
	Slots []Slots `json:"slots"`
}
