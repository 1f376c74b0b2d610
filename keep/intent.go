package keep

import (
	"time"

	"endiveroute.example/endive"
)

// writeIntent records the intent to run a request. The transaction applies only
// if the row is unchanged: the row doesn't exist, or it records that the last
// request was not run.
func (m *Machine) writeIntent(now time.Time, s *keyState, w waiter) []endive.Action {
	s.phase = phaseWritingIntent
	s.ownRequest = w
	s.dueAt = time.Time{}
	return []endive.Action{m.commitRow(s, intentRow{
		State: statePending, Request: w.request, Entry: m.self, Digest: w.digest,
		RemainingMillis: min(w.deadline.Sub(now)+time.Millisecond, maxRemaining).Milliseconds(),
	})}
}

// commitRow returns the transaction that writes the key's row.
func (m *Machine) commitRow(s *keyState, row intentRow) endive.Action {
	id := m.ids.Next()
	m.writes[id] = s
	return s.transaction(id, row)
}

// handleCommitted handles the result of a transaction.
func (m *Machine) handleCommitted(now time.Time, e endive.Committed) []endive.Action {
	s := m.writes[e.WriteID]
	if s == nil || e.Status == endive.CommitUnknown {
		return nil
	}
	delete(m.writes, e.WriteID)
	s.writeID = ""
	switch e.Status {
	case endive.CommitApplied:
		s.update(s.nextRow, e.Result.Versions[0], now)
		return m.handleApplied(now, s)
	case endive.CommitConflict:
		m.clearOwnRequest(s)
		return m.handleConflict(now, s, e.Conflicts)
	default:
		return m.handleUnavailable(now, s)
	}
}

// handleApplied continues after the row was written.
func (m *Machine) handleApplied(now time.Time, s *keyState) []endive.Action {
	if s.phase == phaseWritingIntent {
		return m.sendRequest(now, s)
	}
	m.clearOwnRequest(s)
	return m.resolve(now, s)
}

// sendRequest allows the request to be sent if its deadline has not passed. Otherwise
// it records that the request was not run.
func (m *Machine) sendRequest(now time.Time, s *keyState) []endive.Action {
	actions := s.rejectMismatched()
	if !now.Before(s.ownRequest.deadline) {
		row := s.row
		row.State = stateNotRun
		s.phase = phaseWritingOutcome
		return append(actions, decision(s, "notRun", "the deadline had passed when the intent was recorded"), m.commitRow(s, row))
	}
	s.phase = phaseRunning
	m.requests[s.ownRequest.request] = s
	actions = append(actions, SendRequest{Tag: s.ownRequest.tag, Request: s.ownRequest.request, Deadline: s.ownRequest.deadline})
	return append(actions, m.resolvePending(now, s)...)
}

// handleConflict continues with the stored row whose version differed from the
// expected one.
func (m *Machine) handleConflict(now time.Time, s *keyState, rows []endive.Row) []endive.Action {
	for _, row := range rows {
		if row.Key == s.key {
			return m.handleRow(now, s, row)
		}
	}
	return m.readRow(s)
}

// handleUnavailable continues after a transaction that was not applied because the
// table service was unreachable.
func (m *Machine) handleUnavailable(now time.Time, s *keyState) []endive.Action {
	switch s.phase {
	case phaseWritingIntent:
		a := Result{
			Outcome: endive.NotRun, AttemptOnly: true, RetryAt: m.settings.RetryDelay.After(now),
			Reason: "the table service can't be reached",
		}
		actions := s.answerWaiters(a, func(w waiter) bool { return !w.isLookup })
		a = Result{Unavailable: true, RetryAt: a.RetryAt, Reason: a.Reason}
		actions = append(actions, s.answerWaiters(a, allWaiters)...)
		s.phase = phaseIdle
		m.dropIfIdle(now, s)
		return actions
	case phaseExpiring:
		s.phase = phasePolling
	}
	m.schedule(now, s, m.settings.RetryDelay)
	return nil
}

// clearOwnRequest clears the state of this entry's own request.
func (m *Machine) clearOwnRequest(s *keyState) {
	delete(m.requests, s.ownRequest.request)
	s.ownRequest = waiter{}
	s.body = nil
}

// dropIfIdle removes the state of a key without waiters or operations in progress. The
// state of a pending row is kept for a while, so that a client that retries doesn't
// have to wait for the whole expiry time again.
func (m *Machine) dropIfIdle(now time.Time, s *keyState) {
	if len(s.waiters) > 0 || s.writeID != "" || (s.phase != phaseIdle && s.phase != phasePolling) {
		return
	}
	if s.phase == phasePolling && s.row.State == statePending {
		if at := pendingRetention.After(s.expiresAt(m.settings.ExpiryMargin)); now.Before(at) {
			m.timers.add(at, s.key)
			return
		}
	}
	delete(m.keys, s.key)
}
