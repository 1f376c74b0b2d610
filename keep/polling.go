package keep

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

const (
	// maxPollDelay limits the delay between two polls of a pending row.
	maxPollDelay = endive.Interval(time.Second)
	// pendingRetention is how long the state of a pending row is kept after its expiry
	// if no client waits for it.
	pendingRetention = endive.Interval(time.Minute)
)

// handleFetched handles the result of reading a key's row.
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

// handleMissingRow continues the work on a key that has no row.
func (m *Machine) handleMissingRow(now time.Time, r *keyState) []endive.Action {
	a := Result{NotFound: true, Reason: "nothing is recorded under the key"}
	actions := r.answerWaiters(a, func(w waiter) bool { return w.isLookup && !w.readTooEarly })
	return append(actions, m.runNext(now, r)...)
}

// runNext runs the request of the next waiter. Without one, it reads the row again for
// Lookups that arrived after the last read was sent.
func (m *Machine) runNext(now time.Time, r *keyState) []endive.Action {
	r.phase = phaseIdle
	for i := range r.waiters {
		r.waiters[i].readTooEarly = false
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

// handleRow continues with a row written by another entry or for an earlier request.
func (m *Machine) handleRow(now time.Time, r *keyState, row endive.Row) []endive.Action {
	if row.Version == 0 {
		return m.handleMissingRow(now, r)
	}
	got, err := decodeIntent(row.Value)
	if err != nil {
		actions := r.answerWaiters(Result{Outcome: endive.Unknown, Reason: "the stored row is invalid"}, allWaiters)
		r.phase = phaseIdle
		m.dropIfIdle(now, r)
		return append(actions, decision(r, "unreadable", err.Error()))
	}
	r.update(got, row.Version, now)
	return m.resolve(now, r)
}

// resolve returns results to the waiters according to the state of the row.
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

// answerRow returns the recorded outcome to all waiters.
func (m *Machine) answerRow(now time.Time, r *keyState, body []byte) []endive.Action {
	a := Result{Outcome: r.row.State.outcome(), Status: r.row.Status, Body: body, Reason: "recorded by " + string(r.row.Entry)}
	actions := r.answerWaiters(a, allWaiters)
	r.phase = phaseIdle
	m.dropIfIdle(now, r)
	return actions
}

// resolveNotRun reports to the waiters of a request that it was not run, and runs the
// request of another waiter.
func (m *Machine) resolveNotRun(now time.Time, r *keyState) []endive.Action {
	a := Result{Outcome: endive.NotRun, RetryAt: now, Reason: "recorded by " + string(r.row.Entry)}
	actions := r.answerWaiters(a, func(w waiter) bool { return w.sharesOutcome || w.isLookup && !w.readTooEarly })
	return append(actions, m.runNext(now, r)...)
}

// resolvePending makes the waiters wait for the outcome of the pending request.
// Lookups get a result at once.
func (m *Machine) resolvePending(now time.Time, r *keyState) []endive.Action {
	actions := r.rejectMismatched()
	actions = append(actions, r.answerWaiters(m.pendingResult(now), func(w waiter) bool { return w.isLookup })...)
	for i := range r.waiters {
		r.waiters[i].sharesOutcome = true
	}
	return actions
}

// pollPending waits for the outcome of another entry's request, or records it as
// unknown after it has expired.
func (m *Machine) pollPending(now time.Time, r *keyState) []endive.Action {
	if at := r.expiresAt(m.settings.ExpiryMargin); !now.Before(at) && len(r.waiters) > 0 {
		row := r.row
		row.State = stateUnknown
		r.phase = phaseExpiring
		reason := fmt.Sprintf("%s recorded no outcome of %s within %s after its deadline", row.Entry, row.Request, m.settings.ExpiryMargin)
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

// reread reads the row again if clients wait for it.
func (m *Machine) reread(now time.Time, r *keyState) []endive.Action {
	if len(r.waiters) == 0 {
		return nil
	}
	return m.readRow(r)
}
