package keep

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

const (
	// maxPause bounds the time between two looks at a pending row.
	maxPause = endive.Interval(time.Second)
	// watchKept is how long the watch of a pending row is kept without a caller
	// after the row has expired.
	watchKept = endive.Interval(time.Minute)
)

// fetched takes the row that was read.
func (k *Machine) fetched(now time.Time, e endive.Fetched) []endive.Action {
	if len(e.Keys) != 1 {
		return nil
	}
	r := k.records[e.Keys[0]]
	if r == nil || r.phase != phaseReading {
		return nil
	}
	switch {
	case e.Unavailable:
		a := Result{Unavailable: true, RetryAt: k.settings.Retry.After(now), Reason: "the table service can't be reached"}
		actions := r.answerAll(a, func(w waiter) bool { return w.lookup })
		r.phase = phaseWatching
		k.after(now, r, k.settings.Retry)
		k.tidy(now, r)
		return actions
	case len(e.Rows) == 0:
		return k.absent(now, r)
	default:
		return k.seen(now, r, e.Rows[0])
	}
}

// absent goes on with a key that has no row.
func (k *Machine) absent(now time.Time, r *record) []endive.Action {
	a := Result{NotFound: true, Reason: "nothing is recorded under the key"}
	actions := r.answerAll(a, func(w waiter) bool { return w.lookup && !w.late })
	return append(actions, k.retry(now, r)...)
}

// retry lets the next waiter try, or reads the row again for those who came too
// late for the last answer.
func (k *Machine) retry(now time.Time, r *record) []endive.Action {
	r.phase = phaseIdle
	for i := range r.waiters {
		r.waiters[i].late = false
	}
	if w, ok := r.candidate(now); ok {
		return k.intend(now, r, w)
	}
	if len(r.waiters) > 0 {
		return k.read(r)
	}
	k.tidy(now, r)
	return nil
}

// seen goes on with a row that another entry, or an earlier request, has
// written.
func (k *Machine) seen(now time.Time, r *record, row endive.Row) []endive.Action {
	if row.Version == 0 {
		return k.absent(now, r)
	}
	got, err := decodeIntent(row.Value)
	if err != nil {
		actions := r.answerAll(Result{Outcome: endive.Unknown, Reason: "the row can't be read"}, everyone)
		r.phase = phaseIdle
		k.tidy(now, r)
		return append(actions, decision(r, "unreadable", err.Error()))
	}
	r.see(got, row.Version, now)
	return k.resolve(now, r)
}

// resolve answers the waiters by the row, as far as it goes.
func (k *Machine) resolve(now time.Time, r *record) []endive.Action {
	actions := r.refuseOthers()
	switch r.row.State {
	case statePending:
		r.phase = phaseWatching
		return append(actions, k.watch(now, r)...)
	case stateNotRun:
		return append(actions, k.resolveNotRun(now, r)...)
	case stateAnswered:
		if r.row.Object != "" && len(r.waiters) > 0 {
			r.phase = phaseLoading
			k.objects[r.row.Object] = r
			return append(actions, FetchObject{Name: r.row.Object})
		}
	}
	return append(actions, k.answerRow(now, r, r.row.Body)...)
}

// answerRow answers all waiters with the recorded outcome.
func (k *Machine) answerRow(now time.Time, r *record, body []byte) []endive.Action {
	a := Result{Outcome: r.row.State.outcome(), Status: r.row.Status, Body: body, Reason: "recorded by " + string(r.row.Entry)}
	actions := r.answerAll(a, everyone)
	r.phase = phaseIdle
	k.tidy(now, r)
	return actions
}

// resolveNotRun tells those who waited that the request was not run, and lets
// another one try.
func (k *Machine) resolveNotRun(now time.Time, r *record) []endive.Action {
	a := Result{Outcome: endive.NotRun, RetryAt: now, Reason: "recorded by " + string(r.row.Entry)}
	actions := r.answerAll(a, func(w waiter) bool { return w.waited || w.lookup && !w.late })
	return append(actions, k.retry(now, r)...)
}

// resolvePending lets the waiters wait for the request that is pending.
func (k *Machine) resolvePending(now time.Time, r *record) []endive.Action {
	actions := r.refuseOthers()
	actions = append(actions, r.answerAll(k.pending(now), func(w waiter) bool { return w.lookup })...)
	for i := range r.waiters {
		r.waiters[i].waited = true
	}
	return actions
}

// watch waits for another entry's outcome, or gives that entry up.
func (k *Machine) watch(now time.Time, r *record) []endive.Action {
	if at := r.expires(k.settings.Margin); !now.Before(at) && len(r.waiters) > 0 {
		row := r.row
		row.State = stateUnknown
		r.phase = phaseExpiring
		reason := fmt.Sprintf("%s recorded no outcome of %s until %s after its deadline", row.Entry, row.Request, k.settings.Margin)
		return []endive.Action{decision(r, "unknown", reason), k.commit(r, row)}
	}
	actions := k.resolvePending(now, r)
	if len(r.waiters) == 0 {
		k.tidy(now, r)
		return actions
	}
	k.after(now, r, r.pause)
	r.pause = min(2*r.pause, maxPause)
	return actions
}

// look reads the row again.
func (k *Machine) look(now time.Time, r *record) []endive.Action {
	if len(r.waiters) == 0 {
		return nil
	}
	return k.read(r)
}
