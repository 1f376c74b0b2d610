package keep

import (
	"time"

	"endiveroute.example/endive"
)

// intend writes the intent to run a request, on the condition that nobody else
// did, or that the last one was not run.
func (k *Machine) intend(now time.Time, r *record, w waiter) []endive.Action {
	r.phase = phaseIntending
	r.lead = w
	r.actAt = time.Time{}
	return []endive.Action{k.commit(r, intentRow{
		State: statePending, Request: w.request, Entry: k.self, Digest: w.digest,
		RemainingMillis: min(w.deadline.Sub(now)+time.Millisecond, maxRemaining).Milliseconds(),
	})}
}

// commit writes the row of a key.
func (k *Machine) commit(r *record, row intentRow) endive.Action {
	id := k.ids.Next()
	k.writes[id] = r
	return r.transaction(id, row)
}

// committed takes the answer to a transaction.
func (k *Machine) committed(now time.Time, e endive.Committed) []endive.Action {
	r := k.writes[e.WriteID]
	if r == nil || e.Status == endive.CommitUnknown {
		return nil
	}
	delete(k.writes, e.WriteID)
	r.writeID = ""
	switch e.Status {
	case endive.CommitApplied:
		r.see(r.next, e.Result.Versions[0], now)
		return k.applied(now, r)
	case endive.CommitConflict:
		k.forgetLead(r)
		return k.conflicted(now, r, e.Conflicts)
	default:
		return k.unavailable(now, r)
	}
}

// applied goes on after the row was written.
func (k *Machine) applied(now time.Time, r *record) []endive.Action {
	if r.phase == phaseIntending {
		return k.intended(now, r)
	}
	k.forgetLead(r)
	return k.resolve(now, r)
}

// intended lets the request run, if there is time left. Otherwise it is recorded
// that it was not run.
func (k *Machine) intended(now time.Time, r *record) []endive.Action {
	actions := r.refuseOthers()
	if !now.Before(r.lead.deadline) {
		row := r.row
		row.State = stateNotRun
		r.phase = phaseRecording
		return append(actions, decision(r, "notRun", "the intent was recorded after the deadline"), k.commit(r, row))
	}
	r.phase = phaseRunning
	k.requests[r.lead.request] = r
	actions = append(actions, SendRequest{Tag: r.lead.tag, Request: r.lead.request, Deadline: r.lead.deadline})
	return append(actions, k.resolvePending(now, r)...)
}

// conflicted goes on with the row that stood in the way.
func (k *Machine) conflicted(now time.Time, r *record, rows []endive.Row) []endive.Action {
	for _, row := range rows {
		if row.Key == r.key {
			return k.seen(now, r, row)
		}
	}
	return k.read(r)
}

// unavailable goes on after a transaction that was not written.
func (k *Machine) unavailable(now time.Time, r *record) []endive.Action {
	switch r.phase {
	case phaseIntending:
		a := Result{
			Outcome: endive.NotRun, AttemptOnly: true, RetryAt: k.settings.Retry.After(now),
			Reason: "the table service can't be reached",
		}
		actions := r.answerAll(a, func(w waiter) bool { return !w.lookup })
		a = Result{Unavailable: true, RetryAt: a.RetryAt, Reason: a.Reason}
		actions = append(actions, r.answerAll(a, everyone)...)
		r.phase = phaseIdle
		k.tidy(now, r)
		return actions
	case phaseExpiring:
		r.phase = phaseWatching
	}
	k.after(now, r, k.settings.Retry)
	return nil
}

// forgetLead ends the part of this entry's own request.
func (k *Machine) forgetLead(r *record) {
	delete(k.requests, r.lead.request)
	r.lead = waiter{}
	r.body = nil
}

// tidy drops a record that has nothing to do. The watch of a pending row is kept
// for a while: a caller who asks again then needn't wait from the beginning.
func (k *Machine) tidy(now time.Time, r *record) {
	if len(r.waiters) > 0 || r.writeID != "" || (r.phase != phaseIdle && r.phase != phaseWatching) {
		return
	}
	if r.phase == phaseWatching && r.row.State == statePending {
		if at := watchKept.After(r.expires(k.settings.Margin)); now.Before(at) {
			k.timers.add(at, r.key)
			return
		}
	}
	delete(k.records, r.key)
}
