package keep

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// done takes the outcome of a request of this entry: the callers get it, and it
// is recorded for those who come later.
func (k *Machine) done(now time.Time, e RequestDone) []endive.Action {
	r := k.requests[e.Request]
	if r == nil || r.phase != phaseRunning {
		return nil
	}
	row := r.row
	row.State = stateOf(e.Outcome)
	row.Status = e.Status
	r.body = e.Body
	r.next = row
	actions := []endive.Action{decision(r, string(e.Outcome), fmt.Sprintf("status %d, %d bytes", e.Status, len(e.Body)))}
	actions = append(actions, k.tellOutcome(r)...)
	if endive.Bytes(len(e.Body)) > k.settings.MaxInline {
		r.next.Object = fmt.Sprintf("outcomes/%s/%s", r.key[len(intentPrefix):], e.Request)
		return append(actions, k.store(r)...)
	}
	r.next.Body = e.Body
	return append(actions, k.write(r)...)
}

// tellOutcome answers the waiters with the outcome that is being recorded.
func (k *Machine) tellOutcome(r *record) []endive.Action {
	actions := r.refuseOthers()
	a := Result{
		Outcome: r.next.State.outcome(), Status: r.next.Status, Body: r.body,
		Reason: "run by " + string(r.next.Entry),
	}
	return append(actions, r.answerAll(a, everyone)...)
}

// store puts the body into the object store.
func (k *Machine) store(r *record) []endive.Action {
	r.phase = phaseStoring
	k.objects[r.next.Object] = r
	return []endive.Action{StoreObject{Name: r.next.Object, Body: r.body}}
}

// objectStored goes on once the body is in the object store.
func (k *Machine) objectStored(now time.Time, e ObjectStored) []endive.Action {
	r := k.objects[e.Name]
	if r == nil || r.phase != phaseStoring {
		return nil
	}
	delete(k.objects, e.Name)
	if e.Failed {
		k.after(now, r, k.settings.Retry)
		return nil
	}
	return k.write(r)
}

// write writes the row of an outcome.
func (k *Machine) write(r *record) []endive.Action {
	r.phase = phaseRecording
	return []endive.Action{k.commit(r, r.next)}
}

// objectFetched answers the waiters once the body is there.
func (k *Machine) objectFetched(now time.Time, e ObjectFetched) []endive.Action {
	r := k.objects[e.Name]
	if r == nil || r.phase != phaseLoading {
		return nil
	}
	delete(k.objects, e.Name)
	if !e.Failed {
		return k.answerRow(now, r, e.Body)
	}
	actions := r.answerAll(Result{
		Unavailable: true, RetryAt: k.settings.Retry.After(now), Reason: "the object store can't be reached",
	}, func(w waiter) bool { return w.lookup })
	if len(r.waiters) == 0 {
		r.phase = phaseIdle
		k.tidy(now, r)
		return actions
	}
	r.phase = phaseWatching
	k.after(now, r, k.settings.Retry)
	return actions
}
