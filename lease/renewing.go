package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// renew renews all leases in one transaction. Each epoch is a condition: the
// lease of a slice that another entry took can't be renewed.
func (k *Keeper) renew(now time.Time) []endive.Action {
	if k.renewal.writeID != "" || now.Before(k.renewAt) {
		return nil
	}
	txn := endive.Transaction{}
	var list []renewed
	for _, t := range k.sorted() {
		if t.stage != stageHeld && t.stage != stageNamed {
			continue
		}
		list = append(list, renewed{t.slice.ID, t.row.Epoch})
		txn.Conditions = append(txn.Conditions, endive.Condition{Key: epochKey(t.slice.ID), Version: t.epochVersion})
		txn.Writes = append(txn.Writes, endive.Write{Key: leaseKey(t.slice.ID), Value: leaseRow{t.row.Epoch}.encode()})
	}
	k.renewAt = k.settings.Renewal.After(now)
	if len(list) == 0 {
		return nil
	}
	txn.WriteID = k.ids.Next()
	k.renewal = renewal{writeID: txn.WriteID, sent: now, slices: list}
	return []endive.Action{endive.Commit{Transaction: txn}}
}

// committed takes the answer to a transaction.
func (k *Keeper) committed(now time.Time, e endive.Committed) []endive.Action {
	if e.WriteID == "" {
		return nil
	}
	if e.WriteID == k.renewal.writeID {
		return k.renewed(now, e)
	}
	for _, t := range k.sorted() {
		if t.writeID != e.WriteID {
			continue
		}
		switch t.stage {
		case stageTaking:
			return k.taken(now, t, e)
		case stageHanding:
			return k.named(now, t, e)
		}
	}
	return nil
}

// renewed takes the answer to a renewal. While it is unknown, no other is sent:
// the leases go on from the moment that the last one was sent.
func (k *Keeper) renewed(now time.Time, e endive.Committed) []endive.Action {
	if e.Status == endive.CommitUnknown {
		return nil
	}
	r := k.renewal
	k.renewal = renewal{}
	switch e.Status {
	case endive.CommitConflict:
		actions := k.mergeRows(now, e.Conflicts)
		k.renewAt = retryPause.After(now)
		if k.lostAny(r) {
			k.renewAt = now
		}
		_, more := k.rows.Request(now)
		return append(actions, more...)
	case endive.CommitUnavailable:
		k.renewAt = retryPause.After(now)
		return nil
	}
	var actions []endive.Action
	for i, one := range r.slices {
		t := k.tenures[one.id]
		t.see(t.epochVersion, max(e.Result.Versions[i], t.leaseVersion), now)
		if t.row.Epoch != one.epoch || !t.names(k.self, k.incarnation) {
			continue
		}
		switch t.stage {
		case stageNamed:
			actions = append(actions, k.accept(now, t, r.sent)...)
		case stageHeld:
			actions = append(actions, k.hold(now, t, r.sent, t.handed)...)
		}
	}
	return actions
}

// lostAny reports whether a slice of a renewal isn't to be renewed any more.
func (k *Keeper) lostAny(r renewal) bool {
	for _, one := range r.slices {
		t := k.tenures[one.id]
		if t.row.Epoch != one.epoch || (t.stage != stageHeld && t.stage != stageNamed) {
			return true
		}
	}
	return false
}

// accept begins the lease on a slice that was handed over.
func (k *Keeper) accept(now time.Time, t *tenure, sent time.Time) []endive.Action {
	actions := k.hold(now, t, sent, t.row.HandedBy != "")
	reason := fmt.Sprintf("epoch %d was handed over by %s", t.row.Epoch, t.row.HandedBy)
	actions = append(actions, decision(t, "accept", reason))
	if t.row.HandedBy != "" {
		actions = append(actions, endive.Send{To: t.row.HandedBy, Message: &wire.SliceAnswer{
			Slice: string(t.slice.ID), Epoch: uint64(t.row.Epoch), Accepted: true,
		}})
	}
	return actions
}
