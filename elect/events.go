package elect

import (
	"time"

	"endiveroute.example/endive"
)

// LeaseRow gives the lease's row as it was read; Version 0 says that there is none.
type LeaseRow struct {
	Version endive.Version
	Value   []byte
}

// Fenced says that a worker or the store knows a higher epoch than one of this
// entry.
type Fenced struct{ Epoch endive.Epoch }

// HolderSuspected says that the process of an entry seems to have ended.
type HolderSuspected struct {
	Holder      endive.EntryID
	Incarnation endive.Incarnation
}

// IsEvent marks Suspected as an event.
func (HolderSuspected) IsEvent() {}

// Superseded says that another entry holds the pool under an epoch.
type Superseded struct{ Epoch endive.Epoch }

// IsEvent marks Superseded as an event.
func (Superseded) IsEvent() {}

// Release asks to hand the pool over; nothing is taken any more.
type Release struct{}

// TenureBegan is the action of beginning a tenure. FenceVersion is the version of the
// fence row, which was written together with the lease.
type TenureBegan struct {
	Epoch        endive.Epoch
	FenceVersion endive.Version
	LeaseEnd     time.Time
	// PreviousLeaseEnd is when the lease of the last holder has surely run out; zero where
	// it had before.
	PreviousLeaseEnd time.Time
}

// TenureRenewed is the action of telling until when the pool is held.
type TenureRenewed struct{ LeaseEnd time.Time }

// TenureEnded is the action of ending a tenure.
type TenureEnded struct {
	Reason string
	// Released says that the lease was given up, and Lease is its row then.
	Released bool
	Lease    LeaseRow
}

// Offered says that the last holder leaves the pool to this entry, with the lease's row as
// it left it.
type Offered struct{ Lease LeaseRow }

// IsEvent marks Offered as an event.
func (Offered) IsEvent() {}

// Commit is the action of writing a transaction; it is answered by
// endive.Committed.
type Commit struct{ Transaction endive.Transaction }

// ReadLease is the action of reading the lease's row; it is answered by Seen.
type ReadLease struct{}

// IsEvent marks Seen as an event.
func (LeaseRow) IsEvent() {}

// IsEvent marks Fenced as an event.
func (Fenced) IsEvent() {}

// IsEvent marks GiveUp as an event.
func (Release) IsEvent() {}

// IsAction marks Began as an action.
func (TenureBegan) IsAction() {}

// IsAction marks Renewed as an action.
func (TenureRenewed) IsAction() {}

// IsAction marks Lost as an action.
func (TenureEnded) IsAction() {}

// IsAction marks Record as an action.
func (Commit) IsAction() {}

// IsAction marks Look as an action.
func (ReadLease) IsAction() {}
