package lease

import (
	"time"

	"endiveroute.example/endive"
)

// tenure is what an entry knows of one slice and its holder.
type tenure struct {
	slice endive.Slice
	// wanted says that the slice has workers.
	wanted bool
	stage  stage

	// row is the newest that names a holder; its version is 0 without one.
	row          epochRow
	epochVersion endive.Version
	leaseVersion endive.Version
	// unchanged is when the versions were first seen as they are, without a gap
	// in watching since; zero before the first look.
	unchanged time.Time

	// writeID is the transaction of stageTaking or stageHanding.
	writeID endive.WriteID
	// sent is when that transaction was sent, written what it names as the
	// holder.
	sent    time.Time
	written epochRow
	// until is when the lease runs out, since when it was taken.
	until, since time.Time
	handed       bool
	// clean says that nothing of this entry is at work in the slice.
	clean bool
	// successor is whom the slice is handed to.
	successor endive.EntryID
	// retryAt is when a transaction that failed may be tried again.
	retryAt time.Time
}

// see notes the versions of the rows. A change begins the watch anew.
func (t *tenure) see(epoch, lease endive.Version, now time.Time) {
	if epoch != t.epochVersion || lease != t.leaseVersion || t.unchanged.IsZero() {
		t.unchanged = now
	}
	t.epochVersion, t.leaseVersion = epoch, lease
}

// changed returns the event for the slice's holder machine.
func (t *tenure) changed() endive.LeaseChanged {
	return endive.LeaseChanged{
		Slice:      t.slice,
		Held:       t.stage == stageHeld,
		Epoch:      t.row.Epoch,
		Fence:      endive.Condition{Key: epochKey(t.slice.ID), Version: t.epochVersion},
		ExpiresAt:  t.until,
		AcquiredAt: t.since,
		HandedOver: t.handed,
	}
}

// names reports whether the row names a run of an entry.
func (t *tenure) names(entry endive.EntryID, incarnation endive.Incarnation) bool {
	return t.epochVersion > 0 && t.row.Holder == entry && t.row.Incarnation == incarnation
}

// take returns the transaction that makes a successor the holder, unless either
// row changed meanwhile.
func (t *tenure) take(id endive.WriteID, next epochRow) endive.Transaction {
	return endive.Transaction{
		WriteID: id,
		Conditions: []endive.Condition{
			{Key: epochKey(t.slice.ID), Version: t.epochVersion},
			{Key: leaseKey(t.slice.ID), Version: t.leaseVersion},
		},
		Writes: []endive.Write{
			{Key: epochKey(t.slice.ID), Value: next.encode()},
			{Key: leaseKey(t.slice.ID), Value: leaseRow{Epoch: next.Epoch}.encode()},
		},
	}
}

// next returns the row that names the next holder.
func (t *tenure) next(holder endive.EntryID, incarnation endive.Incarnation) epochRow {
	return epochRow{
		Holder: holder, Incarnation: incarnation, Epoch: t.row.Epoch + 1,
		Pool: t.slice.Pool, Region: t.slice.Region,
	}
}
