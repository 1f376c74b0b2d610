package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// stop begins a planned stop: the holder machines are told to stop first.
func (k *Keeper) stop(e HandOver) []endive.Action {
	k.stopping = true
	k.deadline = e.Deadline
	var actions []endive.Action
	for _, t := range k.sorted() {
		actions = append(actions, k.release(t)...)
	}
	return actions
}

// release ends the lease on a slice in a planned stop.
func (k *Keeper) release(t *tenure) []endive.Action {
	switch t.stage {
	case stageNamed:
		t.clean = t.row.HandedBy != ""
		t.stage = stageReleased
	case stageHeld:
		t.clean = false
		t.stage = stageReleasing
		return []endive.Action{endive.PublishLease{Lease: t.changed()}}
	}
	return nil
}

// released notes that a holder machine has stopped.
func (k *Keeper) released(id endive.SliceID) {
	if t, ok := k.tenures[id]; ok && t.stage == stageReleasing {
		t.clean = true
		t.stage = stageReleased
	}
}

// handOver names a successor for each slice that was released, and says so when
// there is none left.
func (k *Keeper) handOver(now time.Time) []endive.Action {
	if !k.stopping || k.handedOver {
		return nil
	}
	var actions []endive.Action
	var left []endive.SliceID
	open := false
	for _, t := range k.sorted() {
		actions = append(actions, k.release(t)...)
		if t.stage == stageReleasing && !now.Before(t.until) {
			t.stage = stageReleased
		}
		if t.stage == stageReleased && !now.Before(t.retryAt) {
			actions = append(actions, k.offer(now, t)...)
		}
		if t.stage != stageOther {
			open = true
			left = append(left, t.slice.ID)
		}
	}
	if open && now.Before(k.deadline) {
		return actions
	}
	k.handedOver = true
	return append(actions, HandedOver{Left: left})
}

// offer writes who is to hold a slice next.
func (k *Keeper) offer(now time.Time, t *tenure) []endive.Action {
	t.retryAt = retryPause.After(now)
	var successor endive.Peer
	for _, p := range prefer(t.slice, k.view.Peers) {
		if p.ID != k.self {
			successor = p
			break
		}
	}
	if successor.ID == "" {
		return k.vacate(now, t)
	}
	next := t.next(successor.ID, successor.Incarnation)
	if t.clean {
		next.HandedBy = k.self
	}
	t.stage = stageHanding
	t.successor = successor.ID
	t.sent = now
	t.writeID = k.ids.Next()
	t.written = next
	return []endive.Action{
		decision(t, string(successor.ID), fmt.Sprintf("hands epoch %d over in a planned stop", next.Epoch)),
		endive.Commit{Transaction: t.take(t.writeID, next)},
	}
}

// named takes the answer to the transaction that names a successor.
func (k *Keeper) named(now time.Time, t *tenure, e endive.Committed) []endive.Action {
	switch e.Status {
	case endive.CommitUnknown:
		return nil
	case endive.CommitUnavailable:
		t.stage = stageReleased
		return nil
	case endive.CommitConflict:
		actions := k.mergeRows(now, e.Conflicts)
		t.stage = stageOther
		if t.names(k.self, k.incarnation) {
			t.stage = stageReleased
			t.retryAt = now
		}
		_, more := k.rows.Request(now)
		return append(actions, more...)
	}
	t.stage = stageOther
	if e.Result.Versions[0] < t.epochVersion {
		return nil
	}
	t.row = t.written
	t.see(e.Result.Versions[0], e.Result.Versions[1], now)
	if t.vacant() {
		return nil
	}
	t.stage = stageHanded
	return []endive.Action{endive.Send{To: t.successor, Message: &wire.SliceOffer{
		Slice: string(t.slice.ID), Epoch: uint64(t.row.Epoch),
	}}}
}
