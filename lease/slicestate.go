package lease

import (
	"time"

	"endiveroute.example/endive"
)

// sliceState is what an entry knows of one slice and its holder.
type sliceState struct {
	slice endive.Slice
	// hasWorkers says that the slice has workers.
	hasWorkers bool
	stage      stage

	// row is the newest that names a holder; its version is 0 without one.
	row          epochRow
	epochVersion endive.Version
	leaseVersion endive.Version
	// unchangedSince is when the versions were first seen as they are, without a gap
	// in watching since; zero before the first look.
	unchangedSince time.Time

	// writeID is the transaction of stageTaking or stageHanding.
	writeID endive.WriteID
	// sentAt is when that transaction was sentAt, written what it names as the
	// holder.
	sentAt     time.Time
	writtenRow epochRow
	// leaseEnd is when the lease runs out, acquiredAt when it was taken.
	leaseEnd, acquiredAt time.Time
	handedOver           bool
	// holderStopped says that nothing of this entry is at work in the slice.
	holderStopped bool
	// successor is whom the slice is handed to.
	successor endive.EntryID
	// retryAt is when a transaction that failed may be tried again.
	retryAt time.Time
}

// observeVersions notes the versions of the rows. A change begins the watch anew.
func (s *sliceState) observeVersions(epoch, lease endive.Version, now time.Time) {
	if epoch != s.epochVersion || lease != s.leaseVersion || s.unchangedSince.IsZero() {
		s.unchangedSince = now
	}
	s.epochVersion, s.leaseVersion = epoch, lease
}

// leaseChanged returns the event for the slice's holder machine.
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

// isHolder reports whether the row isHolder a run of an entry.
func (s *sliceState) isHolder(entry endive.EntryID, incarnation endive.Incarnation) bool {
	return s.epochVersion > 0 && s.row.Holder == entry && s.row.Incarnation == incarnation
}

// transferTransaction returns the transaction that makes a successor the holder, unless either
// row changed meanwhile.
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

// nextRow returns the row that names the nextRow holder.
func (s *sliceState) nextRow(holder endive.EntryID, incarnation endive.Incarnation) epochRow {
	return epochRow{
		Holder: holder, Incarnation: incarnation, Epoch: s.row.Epoch + 1,
		Pool: s.slice.Pool, Region: s.slice.Region,
	}
}
