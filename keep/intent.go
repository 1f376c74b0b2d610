package keep

import (
	"time"

	"endiveroute.example/endive"
)

// writeIntent records the intent to run a request. The transaction applies only if the
// row is unchanged: there is none, or it records that the last request was not run.
func (m *Machine) writeIntent(now time.Time, r *keyState, w waiter) []endive.Action {
	r.phase = phaseWritingIntent
	r.ownRequest = w
	r.dueAt = time.Time{}
	return []endive.Action{m.commitRow(r, intentRow{
		State: statePending, Request: w.request, Entry: m.self, Digest: w.digest,
		RemainingMillis: min(w.deadline.Sub(now)+time.Millisecond, maxRemaining).Milliseconds(),
	})}
}

// commitRow returns the transaction that writes the key's row.
func (m *Machine) commitRow(r *keyState, row intentRow) endive.Action {
	id := m.ids.Next()
	m.writes[id] = r
	return r.transaction(id, row)
}

// handleCommitted handles the result of a transaction.
func (m *Machine) handleCommitted(now time.Time, e endive.Committed) []endive.Action {
	r := m.writes[e.WriteID]
	if r == nil || e.Status == endive.CommitUnknown {
		return nil
	}
	delete(m.writes, e.WriteID)
	r.writeID = ""
	switch e.Status {
	case endive.CommitApplied:
		r.update(r.nextRow, e.Result.Versions[0], now)
		return m.handleApplied(now, r)
	case endive.CommitConflict:
		m.clearOwnRequest(r)
		return m.handleConflict(now, r, e.Conflicts)
	default:
		return m.handleUnavailable(now, r)
	}
}

// handleApplied continues after the row was written.
func (m *Machine) handleApplied(now time.Time, r *keyState) []endive.Action {
	if r.phase == phaseWritingIntent {
		return m.sendRequest(now, r)
	}
	m.clearOwnRequest(r)
	return m.resolve(now, r)
}

// sendRequest allows the request to be sent if its deadline has not passed. Otherwise
// it records that the request was not run.
func (m *Machine) sendRequest(now time.Time, r *keyState) []endive.Action {
	actions := r.rejectMismatched()
	if !now.Before(r.ownRequest.deadline) {
		row := r.row
		row.State = stateNotRun
		r.phase = phaseWritingOutcome
		return append(actions, decision(r, "notRun", "the deadline had passed when the intent was recorded"), m.commitRow(r, row))
	}
	r.phase = phaseRunning
	m.requests[r.ownRequest.request] = r
	actions = append(actions, SendRequest{Tag: r.ownRequest.tag, Request: r.ownRequest.request, Deadline: r.ownRequest.deadline})
	return append(actions, m.resolvePending(now, r)...)
}

// handleConflict continues with the stored row whose version differed from the
// expected one.
func (m *Machine) handleConflict(now time.Time, r *keyState, rows []endive.Row) []endive.Action {
	for _, row := range rows {
		if row.Key == r.key {
			return m.handleRow(now, r, row)
		}
	}
	return m.readRow(r)
}

// handleUnavailable continues after a transaction that was not applied because the
// table service was unreachable.
func (m *Machine) handleUnavailable(now time.Time, r *keyState) []endive.Action {
	switch r.phase {
	case phaseWritingIntent:
		a := Result{
			Outcome: endive.NotRun, AttemptOnly: true, RetryAt: m.settings.RetryDelay.After(now),
			Reason: "the table service can't be reached",
		}
		actions := r.answerWaiters(a, func(w waiter) bool { return !w.isLookup })
		a = Result{Unavailable: true, RetryAt: a.RetryAt, Reason: a.Reason}
		actions = append(actions, r.answerWaiters(a, allWaiters)...)
		r.phase = phaseIdle
		m.dropIfIdle(now, r)
		return actions
	case phaseExpiring:
		r.phase = phasePolling
	}
	m.schedule(now, r, m.settings.RetryDelay)
	return nil
}

// clearOwnRequest clears the state of this entry's own request.
func (m *Machine) clearOwnRequest(r *keyState) {
	delete(m.requests, r.ownRequest.request)
	r.ownRequest = waiter{}
	r.body = nil
}

// dropIfIdle removes the state of a key without waiters or operations in progress. The
// state of a pending row is kept for a while, so that a client that retries doesn't
// have to wait for the whole expiry time again.
func (m *Machine) dropIfIdle(now time.Time, r *keyState) {
	if len(r.waiters) > 0 || r.writeID != "" || (r.phase != phaseIdle && r.phase != phasePolling) {
		return
	}
	if r.phase == phasePolling && r.row.State == statePending {
		if at := pendingRetention.After(r.expiresAt(m.settings.ExpiryMargin)); now.Before(at) {
			m.timers.add(at, r.key)
			return
		}
	}
	delete(m.keys, r.key)
}
