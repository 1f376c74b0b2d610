package endive

import "time"

// LeaseChanged is the event that this entry acquired, renewed or lost the lease of a
// slice.
type LeaseChanged struct {
	Slice Slice
	// Held is true if this entry holds the lease of the slice.
	Held  bool
	Epoch Epoch
	// Fence is a condition that fails once another entry has taken over the slice.
	// The holder adds it to each of its transactions.
	Fence Condition
	// ExpiresAt is when the lease expires unless it is renewed before. The holder
	// checks the clock before each operation that requires the lease.
	ExpiresAt time.Time
	// AcquiredAt is when this entry acquired the lease.
	AcquiredAt time.Time
	// HandedOver is true if the previous holder handed the slice over, and so has no
	// operations in progress.
	HandedOver bool
}

// IsEvent marks LeaseChanged as an event.
func (LeaseChanged) IsEvent() {}

// PublishLease is the action that passes the state of the lease to the machine that
// manages the slice.
type PublishLease struct {
	Lease LeaseChanged
}

// IsAction marks PublishLease as an action.
func (PublishLease) IsAction() {}
