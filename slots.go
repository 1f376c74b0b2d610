package endive

import (
	"slices"
	"time"
)

// SlotDemand is the number of requests of a service that are waiting at an entry.
type SlotDemand struct {
	Service ServiceName
	// Waiting is the number of requests without a slot.
	Waiting int
	// CrossRegion is the number of waiting requests that should be sent to another
	// region despite the longer distance.
	CrossRegion int
	// Oldest is the arrival time of the oldest waiting request.
	Oldest time.Time
	// Avoid lists the executors that this entry would send no request to, sorted.
	Avoid []ExecutorID
}

// Equal reports whether two demands are equal in all fields.
func (d SlotDemand) Equal(o SlotDemand) bool {
	return d.Service == o.Service && d.Waiting == o.Waiting && d.CrossRegion == o.CrossRegion &&
		d.Oldest.Equal(o.Oldest) && slices.Equal(d.Avoid, o.Avoid)
}

// Slots is the part of a router that determines how many slots of each executor this
// entry may use, so that all entries together stay within each executor's number of
// slots. It processes messages from its peers as a Machine; the router calls its other
// methods directly.
type Slots interface {
	Machine
	// Free returns how many more requests may be started on executor at now.
	Free(now time.Time, executor ExecutorID) int
	// Acquire reserves a slot until Release. It reports false if none is free.
	Acquire(now time.Time, executor ExecutorID) bool
	// Release frees an acquired slot.
	Release(now time.Time, executor ExecutorID) []Action
	// Ownership returns the entry that lends the executor's slots to the other entries,
	// and how many slots this entry has lent. Implementations in which entries don't
	// lend slots return "" and 0.
	Ownership(executor ExecutorID) (owner EntryID, lent int)
	// SetDemand updates the demand for slots of a service.
	SetDemand(now time.Time, demand SlotDemand) []Action
}
