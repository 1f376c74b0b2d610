package lease

import (
	"time"

	"endiveroute.example/endive"
)

// sliceState is the state of one slice and its lease, as known to this entry.
type sliceState struct {
	slice      endive.Slice
	hasWorkers bool
	stage      stage

	// row is the newest known epoch row. epochVersion is its version, or 0 if there is none.
	row          epochRow
	epochVersion endive.Version
	leaseVersion endive.Version
	// unchangedSince is when the current versions were first seen, or the end of the last gap
	// in the scans if that is later. It is zero before the first scan.
	unchangedSince time.Time

	// writeID is the ID of the transaction of stageAcquiring or stageTransferring.
	writeID endive.WriteID
	// sentAt is when the transaction with this writeID was sent, and writtenRow
	// is the epoch row that this transaction writes.
	sentAt     time.Time
	writtenRow epochRow
	// leaseEnd is when this entry's lease expires, and acquiredAt is when the
	// entry acquired the slice.
	leaseEnd, acquiredAt time.Time
	// handedOver is true if the previous holder ended its operations and handed the slice over.
	handedOver bool
	// holderStopped is true if this entry has ended all of its operations on the slice.
	holderStopped bool
	// successor is the entry to which this entry hands the slice over.
	successor endive.EntryID
	// retryAt is when a failed transaction may be retried.
	retryAt time.Time
}

// observeVersions records the versions of the slice's rows. If they have changed, the time
// without a change is counted from now.
func (s *sliceState) observeVersions(epoch, lease endive.Version, now time.Time) {
	if epoch != s.epochVersion || lease != s.leaseVersion || s.unchangedSince.IsZero() {
		s.unchangedSince = now
	}
	s.epochVersion, s.leaseVersion = epoch, lease
}

// leaseChanged returns the event that passes the lease to the slice's state machine.
func (s *sliceState) leaseChanged() endive.LeaseChanged {
	return endive.LeaseChanged{
		Slice:      s.slice,
		Held:       s.stage == stageHeld,
		Epoch:      s.row.Epoch,
		Fence:      endive.Condition{Key: epochKey(s.slice.ID), Version: s.epochVersion},
		ExpiresAt:  s.leaseEnd,
		AcquiredAt: s.acquiredAt,
		HandedOver: s.handedOver,
	}
}

// isHolder reports whether the epoch row names this incarnation of an entry as the holder.
func (s *sliceState) isHolder(entry endive.EntryID, incarnation endive.Incarnation) bool {
	return s.epochVersion > 0 && s.row.Holder == entry && s.row.Incarnation == incarnation
}

// transferTransaction returns the transaction that replaces the epoch row with
// the given one. It fails if either row of the slice has changed meanwhile.
func (s *sliceState) transferTransaction(id endive.WriteID, next epochRow) endive.Transaction {
	return endive.Transaction{
		WriteID: id,
		Conditions: []endive.Condition{
			{Key: epochKey(s.slice.ID), Version: s.epochVersion},
			{Key: leaseKey(s.slice.ID), Version: s.leaseVersion},
		},
		Writes: []endive.Write{
			{Key: epochKey(s.slice.ID), Value: next.encode()},
			{Key: leaseKey(s.slice.ID), Value: leaseRow{Epoch: next.Epoch}.encode()},
		},
	}
}

// nextRow returns an epoch row with the next epoch and the given holder.
func (s *sliceState) nextRow(holder endive.EntryID, incarnation endive.Incarnation) epochRow {
	return epochRow{
		Holder: holder, Incarnation: incarnation, Epoch: s.row.Epoch + 1,
		Pool: s.slice.Pool, Region: s.slice.Region,
	}
}
