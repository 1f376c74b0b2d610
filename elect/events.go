package elect

import (
	"time"

	"endiveroute.example/endive"
)

// LeaseRow is the lease's row as read from the store. Its Version is 0 if there is no row.
type LeaseRow struct {
	Version endive.Version
	Value   []byte
}

// Fenced reports that a worker or the store rejected Epoch because it has seen a higher
// one.
type Fenced struct{ Epoch endive.Epoch }

// HolderSuspected reports that the process of Holder with this Incarnation has probably ended.
type HolderSuspected struct {
	Holder      endive.EntryID
	Incarnation endive.Incarnation
}

// IsEvent marks HolderSuspected as an event.
func (HolderSuspected) IsEvent() {}

// Superseded reports that another entry holds the pool under Epoch.
type Superseded struct{ Epoch endive.Epoch }

// IsEvent marks Superseded as an event.
func (Superseded) IsEvent() {}

// Release is the event that makes the machine release the lease and not acquire it again.
type Release struct{}

// TenureBegan is the action of beginning a tenure: the time for which this entry holds the
// pool under one epoch. FenceVersion is the version of the fence row, which was written in
// the same transaction as the lease.
type TenureBegan struct {
	Epoch        endive.Epoch
	FenceVersion endive.Version
	LeaseEnd     time.Time
	// PreviousLeaseEnd is the local time at which the previous holder's lease has certainly
	// expired. It is zero if that lease had expired or was released before.
	PreviousLeaseEnd time.Time
}

// TenureRenewed is the action of extending the tenure to LeaseEnd.
type TenureRenewed struct{ LeaseEnd time.Time }

// TenureEnded is the action of ending a tenure.
type TenureEnded struct {
	Reason string
	// Released is true if this entry released the lease. Lease is then the row that it
	// wrote.
	Released bool
	Lease    LeaseRow
}

// Offered reports that the previous holder released the lease in favor of this entry. Lease
// is the row that it wrote.
type Offered struct{ Lease LeaseRow }

// IsEvent marks Offered as an event.
func (Offered) IsEvent() {}

// Commit is the action of writing a transaction. It is answered by endive.Committed.
type Commit struct{ Transaction endive.Transaction }

// ReadLease is the action of reading the lease's row. It is answered by LeaseRow.
type ReadLease struct{}

// IsEvent marks LeaseRow as an event.
func (LeaseRow) IsEvent() {}

// IsEvent marks Fenced as an event.
func (Fenced) IsEvent() {}

// IsEvent marks Release as an event.
func (Release) IsEvent() {}

// IsAction marks TenureBegan as an action.
func (TenureBegan) IsAction() {}

// IsAction marks TenureRenewed as an action.
func (TenureRenewed) IsAction() {}

// IsAction marks TenureEnded as an action.
func (TenureEnded) IsAction() {}

// IsAction marks Commit as an action.
func (Commit) IsAction() {}

// IsAction marks ReadLease as an action.
func (ReadLease) IsAction() {}
