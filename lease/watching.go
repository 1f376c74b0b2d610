package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// scanned takes over changed rows, and takes what nobody holds any more.
func (k *Keeper) scanned(now time.Time, e endive.Scanned) []endive.Action {
	sent, ok := k.rows.Receive(e)
	if !ok {
		return k.rows.Rescan(now)
	}
	gap := sent.Sub(k.watched) > time.Duration(k.settings.Lease/2)
	k.watched = sent
	actions := k.mergeRows(now, e.Changes.Rows)
	for _, t := range k.sorted() {
		if gap || t.unchanged.IsZero() {
			t.unchanged = now
		}
	}
	if now.Before(k.settings.Poll.After(sent)) {
		actions = append(actions, k.takeDue(now)...)
	}
	return append(actions, k.rows.Rescan(now)...)
}

// mergeRows takes over changed rows.
func (k *Keeper) mergeRows(now time.Time, rows []endive.Row) []endive.Action {
	var actions []endive.Action
	for _, row := range rows {
		if id, ok := sliceOf(row.Key, leaseSuffix); ok {
			t := k.tenure(id)
			if t.stage == stageHanded && row.Version > t.leaseVersion {
				t.stage = stageOther
			}
			t.see(t.epochVersion, max(row.Version, t.leaseVersion), now)
		}
		if id, ok := sliceOf(row.Key, epochSuffix); ok {
			actions = append(actions, k.mergeEpoch(now, k.tenure(id), row)...)
		}
	}
	return actions
}

// mergeEpoch takes over a row that names a holder.
func (k *Keeper) mergeEpoch(now time.Time, t *tenure, row endive.Row) []endive.Action {
	if row.Version <= t.epochVersion {
		return nil
	}
	got, err := decodeEpoch(row.Value)
	if err != nil {
		return []endive.Action{decision(t, "ignored", err.Error())}
	}
	var actions []endive.Action
	if t.stage == stageHeld || t.stage == stageReleasing {
		t.stage = stageOther
		actions = append(actions, endive.PublishLease{Lease: t.changed()},
			decision(t, "lose", fmt.Sprintf("%s holds epoch %d", got.Holder, got.Epoch)))
	}
	t.row = got
	t.see(row.Version, t.leaseVersion, now)
	t.slice.Pool, t.slice.Region = got.Pool, got.Region
	switch {
	case t.stage == stageTaking || t.stage == stageHanding:
		// The transaction on its way tells what became of it.
	case t.names(k.self, k.incarnation):
		t.stage = stageNamed
		k.renewAt = now
	default:
		t.stage = stageOther
	}
	return actions
}

// takeDue takes the slices whose lease has certainly run out, and those that
// nobody ever held.
func (k *Keeper) takeDue(now time.Time) []endive.Action {
	if k.stopping || now.Before(k.settled) {
		return nil
	}
	var actions []endive.Action
	for _, t := range k.sorted() {
		place, able := rank(t.slice, k.view.Peers, k.self)
		if t.stage != stageOther || !t.wanted || !able || now.Before(t.retryAt) {
			continue
		}
		wait := endive.Interval(place) * k.settings.Stagger
		reason := fmt.Sprintf("nobody held it; %d entries are preferred", place)
		if t.vacant() {
			reason = fmt.Sprintf("%s left it in a planned stop; %d entries are preferred", t.row.HandedBy, place)
		} else if t.epochVersion > 0 {
			wait += k.settings.Lease + k.settings.Margin
			reason = fmt.Sprintf("%s didn't renew epoch %d for %s; %d entries are preferred",
				t.row.Holder, t.row.Epoch, now.Sub(t.unchanged), place)
		}
		if now.Before(wait.After(t.unchanged)) {
			continue
		}
		t.stage = stageTaking
		t.writeID = k.ids.Next()
		t.sent = now
		t.written = t.next(k.self, k.incarnation)
		if t.vacant() {
			t.written.HandedBy = t.row.HandedBy
		}
		txn := t.take(t.writeID, t.written)
		actions = append(actions, decision(t, "take", reason), endive.Commit{Transaction: txn})
	}
	return actions
}

// taken takes the answer to the transaction that takes a slice.
func (k *Keeper) taken(now time.Time, t *tenure, e endive.Committed) []endive.Action {
	if e.Status == endive.CommitUnknown {
		return nil
	}
	t.stage = stageOther
	if e.Status != endive.CommitApplied {
		t.retryAt = retryPause.After(now)
		actions := k.mergeRows(now, e.Conflicts)
		_, more := k.rows.Request(now)
		return append(actions, more...)
	}
	if e.Result.Versions[0] < t.epochVersion {
		return nil
	}
	t.row = t.written
	t.see(e.Result.Versions[0], max(e.Result.Versions[1], t.leaseVersion), now)
	return k.hold(now, t, t.sent, t.row.HandedBy != "")
}

// hold begins or prolongs the lease on a slice, from when its transaction was
// sent.
func (k *Keeper) hold(now time.Time, t *tenure, sent time.Time, handed bool) []endive.Action {
	if t.stage != stageHeld {
		t.stage = stageHeld
		t.since = now
		t.handed = handed
		t.until = time.Time{}
		k.renewAt = now
	}
	if until := k.settings.Lease.After(sent); until.After(t.until) {
		t.until = until
	}
	return []endive.Action{endive.PublishLease{Lease: t.changed()}}
}
