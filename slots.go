package endive

import (
	"slices"
	"time"
)

// SlotDemand is how many requests of a service wait at an entry.
type SlotDemand struct {
	Service ServiceName
	// Waiting counts the requests that have no slot.
	Waiting int
	// CrossRegion counts those of them that are worth the way to another region.
	CrossRegion int
	// Oldest is when the longest waiting of them came.
	Oldest time.Time
	// Avoid are the executors that this entry would send no request to, in order.
	Avoid []ExecutorID
}

// Equal reports whether d and o are the same demand.
func (d SlotDemand) Equal(o SlotDemand) bool {
	return d.Service == o.Service && d.Waiting == o.Waiting && d.CrossRegion == o.CrossRegion &&
		d.Oldest.Equal(o.Oldest) && slices.Equal(d.Avoid, o.Avoid)
}

// Slots is the part of a router that says which executor's slots this entry may
// use, so that all entries together keep within each executor's number of slots.
// It is a Machine for the messages of its peers, and is otherwise called by the
// router directly.
type Slots interface {
	Machine
	// Free returns how many more requests may be started on executor at now.
	Free(now time.Time, executor ExecutorID) int
	// Acquire uses a slot and reports whether there was one. It is held until
	// Release.
	Acquire(now time.Time, executor ExecutorID) bool
	// Release gives a taken slot back.
	Release(now time.Time, executor ExecutorID) []Action
	// Ownership returns the entry that lends the executor's slots and how many this
	// entry has lent out. Ways without owners return "" and 0.
	Ownership(executor ExecutorID) (owner EntryID, lent int)
	// SetDemand tells the demand for slots of a service after it changed.
	SetDemand(now time.Time, demand SlotDemand) []Action
}
