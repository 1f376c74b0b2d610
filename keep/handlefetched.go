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
	s := m.keys[e.Keys[0]]
	if s == nil || s.phase != phaseReading {
		return nil
	}
	switch {
	case e.Unavailable:
		a := Result{Unavailable: true, RetryAt: m.settings.RetryDelay.After(now), Reason: "the table service can't be reached"}
		actions := s.answerWaiters(a, func(w waiter) bool { return w.isLookup })
		s.phase = phasePolling
		m.schedule(now, s, m.settings.RetryDelay)
		m.dropIfIdle(now, s)
		return actions
	case len(e.Rows) == 0:
		return m.handleMissingRow(now, s)
	default:
		return m.handleRow(now, s, e.Rows[0])
	}
}

// handleMissingRow continues the work on a key that has no row.
func (m *Machine) handleMissingRow(now time.Time, s *keyState) []endive.Action {
	a := Result{NotFound: true, Reason: "nothing is recorded under the key"}
	actions := s.answerWaiters(a, func(w waiter) bool { return w.isLookup && !w.readTooEarly })
	return append(actions, m.runNext(now, s)...)
}

// runNext runs the request of the next waiter. Without one, it reads the row again for
// Lookups that arrived after the last read was sent.
func (m *Machine) runNext(now time.Time, s *keyState) []endive.Action {
	s.phase = phaseIdle
	for i := range s.waiters {
		s.waiters[i].readTooEarly = false
	}
	if w, ok := s.firstRunnable(now); ok {
		return m.writeIntent(now, s, w)
	}
	if len(s.waiters) > 0 {
		return m.readRow(s)
	}
	m.dropIfIdle(now, s)
	return nil
}

// handleRow continues with a row written by another entry or for an earlier request.
func (m *Machine) handleRow(now time.Time, s *keyState, row endive.Row) []endive.Action {
	if row.Version == 0 {
		return m.handleMissingRow(now, s)
	}
	got, err := decodeIntent(row.Value)
	if err != nil {
		actions := s.answerWaiters(Result{Outcome: endive.Unknown, Reason: "the stored row is invalid"}, allWaiters)
		s.phase = phaseIdle
		m.dropIfIdle(now, s)
		return append(actions, decision(s, "unreadable", err.Error()))
	}
	s.update(got, row.Version, now)
	return m.resolve(now, s)
}

// resolve returns results to the waiters according to the state of the row.
func (m *Machine) resolve(now time.Time, s *keyState) []endive.Action {
	actions := s.rejectMismatched()
	switch s.row.State {
	case statePending:
		s.phase = phasePolling
		return append(actions, m.pollPending(now, s)...)
	case stateNotRun:
		return append(actions, m.resolveNotRun(now, s)...)
	case stateAnswered:
		if s.row.Object != "" && len(s.waiters) > 0 {
			s.phase = phaseLoadingBody
			m.objects[s.row.Object] = s
			return append(actions, FetchObject{Name: s.row.Object})
		}
	}
	return append(actions, m.answerRow(now, s, s.row.Body)...)
}

// answerRow returns the recorded outcome to all waiters.
func (m *Machine) answerRow(now time.Time, s *keyState, body []byte) []endive.Action {
	a := Result{Outcome: s.row.State.outcome(), Status: s.row.Status, Body: body, Reason: "recorded by " + string(s.row.Entry)}
	actions := s.answerWaiters(a, allWaiters)
	s.phase = phaseIdle
	m.dropIfIdle(now, s)
	return actions
}

// resolveNotRun reports to the waiters of a request that it was not run, and runs the
// request of another waiter.
func (m *Machine) resolveNotRun(now time.Time, s *keyState) []endive.Action {
	a := Result{Outcome: endive.NotRun, RetryAt: now, Reason: "recorded by " + string(s.row.Entry)}
	actions := s.answerWaiters(a, func(w waiter) bool { return w.sharesOutcome || w.isLookup && !w.readTooEarly })
	return append(actions, m.runNext(now, s)...)
}

// resolvePending makes the waiters wait for the outcome of the pending request.
// Lookups get a result at once.
func (m *Machine) resolvePending(now time.Time, s *keyState) []endive.Action {
	actions := s.rejectMismatched()
	actions = append(actions, s.answerWaiters(m.pendingResult(now), func(w waiter) bool { return w.isLookup })...)
	for i := range s.waiters {
		s.waiters[i].sharesOutcome = true
	}
	return actions
}

// pollPending waits for the outcome of another entry's request, or records the
// outcome as unknown after that request has expired.
func (m *Machine) pollPending(now time.Time, s *keyState) []endive.Action {
	if at := s.expiresAt(m.settings.ExpiryMargin); !now.Before(at) && len(s.waiters) > 0 {
		row := s.row
		row.State = stateUnknown
		s.phase = phaseExpiring
		reason := fmt.Sprintf("%s recorded no outcome of %s within %s after its deadline", row.Entry, row.Request, m.settings.ExpiryMargin)
		return []endive.Action{decision(s, "unknown", reason), m.commitRow(s, row)}
	}
	actions := m.resolvePending(now, s)
	if len(s.waiters) == 0 {
		m.dropIfIdle(now, s)
		return actions
	}
	m.schedule(now, s, s.pollDelay)
	s.pollDelay = min(2*s.pollDelay, maxPollDelay)
	return actions
}

// reread reads the row again if clients wait for it.
func (m *Machine) reread(now time.Time, s *keyState) []endive.Action {
	if len(s.waiters) == 0 {
		return nil
	}
	return m.readRow(s)
}
