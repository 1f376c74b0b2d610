package keep

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

const (
	// maxPollDelay bounds the time between two looks at a pending row.
	maxPollDelay = endive.Interval(time.Second)
	// pendingRetention is how long the watch of a pending row is kept without a caller
	// after the row has expired.
	pendingRetention = endive.Interval(time.Minute)
)

// handleFetched takes the row that was read.
func (m *Machine) handleFetched(now time.Time, e endive.Fetched) []endive.Action {
	if len(e.Keys) != 1 {
		return nil
	}
	r := m.keys[e.Keys[0]]
	if r == nil || r.phase != phaseReading {
		return nil
	}
	switch {
	case e.Unavailable:
		a := Result{Unavailable: true, RetryAt: m.settings.RetryDelay.After(now), Reason: "the table service can't be reached"}
		actions := r.answerWaiters(a, func(w waiter) bool { return w.isLookup })
		r.phase = phasePolling
		m.schedule(now, r, m.settings.RetryDelay)
		m.dropIfIdle(now, r)
		return actions
	case len(e.Rows) == 0:
		return m.handleMissingRow(now, r)
	default:
		return m.handleRow(now, r, e.Rows[0])
	}
}

// handleMissingRow goes on with a key that has no row.
func (m *Machine) handleMissingRow(now time.Time, r *keyState) []endive.Action {
	a := Result{NotFound: true, Reason: "nothing is recorded under the key"}
	actions := r.answerWaiters(a, func(w waiter) bool { return w.isLookup && !w.needsReread })
	return append(actions, m.runNext(now, r)...)
}

// runNext lets the next waiter try, or reads the row again for those who came too
// late for the last answer.
func (m *Machine) runNext(now time.Time, r *keyState) []endive.Action {
	r.phase = phaseIdle
	for i := range r.waiters {
		r.waiters[i].needsReread = false
	}
	if w, ok := r.firstRunnable(now); ok {
		return m.writeIntent(now, r, w)
	}
	if len(r.waiters) > 0 {
		return m.readRow(r)
	}
	m.dropIfIdle(now, r)
	return nil
}

// handleRow goes on with a row that another entry, or an earlier request, has
// written.
func (m *Machine) handleRow(now time.Time, r *keyState, row endive.Row) []endive.Action {
	if row.Version == 0 {
		return m.handleMissingRow(now, r)
	}
	got, err := decodeIntent(row.Value)
	if err != nil {
		actions := r.answerWaiters(Result{Outcome: endive.Unknown, Reason: "the row can't be read"}, allWaiters)
		r.phase = phaseIdle
		m.dropIfIdle(now, r)
		return append(actions, decision(r, "unreadable", err.Error()))
	}
	r.update(got, row.Version, now)
	return m.resolve(now, r)
}

// resolve answers the waiters by the row, as far as it goes.
func (m *Machine) resolve(now time.Time, r *keyState) []endive.Action {
	actions := r.rejectMismatched()
	switch r.row.State {
	case statePending:
		r.phase = phasePolling
		return append(actions, m.pollPending(now, r)...)
	case stateNotRun:
		return append(actions, m.resolveNotRun(now, r)...)
	case stateAnswered:
		if r.row.Object != "" && len(r.waiters) > 0 {
			r.phase = phaseLoadingBody
			m.objects[r.row.Object] = r
			return append(actions, FetchObject{Name: r.row.Object})
		}
	}
	return append(actions, m.answerRow(now, r, r.row.Body)...)
}

// answerRow answers all waiters with the recorded outcome.
func (m *Machine) answerRow(now time.Time, r *keyState, body []byte) []endive.Action {
	a := Result{Outcome: r.row.State.outcome(), Status: r.row.Status, Body: body, Reason: "recorded by " + string(r.row.Entry)}
	actions := r.answerWaiters(a, allWaiters)
	r.phase = phaseIdle
	m.dropIfIdle(now, r)
	return actions
}

// resolveNotRun tells those who waited that the request was not run, and lets
// another one try.
func (m *Machine) resolveNotRun(now time.Time, r *keyState) []endive.Action {
	a := Result{Outcome: endive.NotRun, RetryAt: now, Reason: "recorded by " + string(r.row.Entry)}
	actions := r.answerWaiters(a, func(w waiter) bool { return w.sharesOutcome || w.isLookup && !w.needsReread })
	return append(actions, m.runNext(now, r)...)
}

// resolvePending lets the waiters wait for the request that is pending.
func (m *Machine) resolvePending(now time.Time, r *keyState) []endive.Action {
	actions := r.rejectMismatched()
	actions = append(actions, r.answerWaiters(m.pendingResult(now), func(w waiter) bool { return w.isLookup })...)
	for i := range r.waiters {
		r.waiters[i].sharesOutcome = true
	}
	return actions
}

// pollPending waits for another entry's outcome, or gives that entry up.
func (m *Machine) pollPending(now time.Time, r *keyState) []endive.Action {
	if at := r.expiresAt(m.settings.ExpiryMargin); !now.Before(at) && len(r.waiters) > 0 {
		row := r.row
		row.State = stateUnknown
		r.phase = phaseExpiring
		reason := fmt.Sprintf("%s recorded no outcome of %s until %s after its deadline", row.Entry, row.Request, m.settings.ExpiryMargin)
		return []endive.Action{decision(r, "unknown", reason), m.commitRow(r, row)}
	}
	actions := m.resolvePending(now, r)
	if len(r.waiters) == 0 {
		m.dropIfIdle(now, r)
		return actions
	}
	m.schedule(now, r, r.pollDelay)
	r.pollDelay = min(2*r.pollDelay, maxPollDelay)
	return actions
}

// reread reads the row again.
func (m *Machine) reread(now time.Time, r *keyState) []endive.Action {
	if len(r.waiters) == 0 {
		return nil
	}
	return m.readRow(r)
}
