package endive

import "time"

// LeaseChanged is the event, for the holder of a slice, that its lease was
// taken, renewed or lost.
type LeaseChanged struct {
	Slice Slice
	// Held says that this entry holds the slice.
	Held  bool
	Epoch Epoch
	// Fence holds while no other entry has taken the slice over. Each write of
	// the holder carries it.
	Fence Condition
	// ExpiresAt is when the lease runs out, unless it is renewed before. The holder
	// looks at the clock before each act that needs the lease.
	ExpiresAt time.Time
	// AcquiredAt is when this entry took the slice.
	AcquiredAt time.Time
	// HandedOver says that the former holder handed the slice over, so that nothing
	// of it is at work any more.
	HandedOver bool
}

// IsEvent marks LeaseChanged as an event.
func (LeaseChanged) IsEvent() {}

// PublishLease is the action of telling the slice's holder machine of its lease.
type PublishLease struct {
	Lease LeaseChanged
}

// IsAction marks PublishLease as an action.
func (PublishLease) IsAction() {}
