package keep

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// handleDone handles the outcome of a request sent by this entry. handleDone
// returns the outcome to the waiting clients and records it for later requests.
func (m *Machine) handleDone(now time.Time, e RequestDone) []endive.Action {
	s := m.requests[e.Request]
	if s == nil || s.phase != phaseRunning {
		return nil
	}
	row := s.row
	row.State = stateOf(e.Outcome)
	row.Status = e.Status
	s.body = e.Body
	s.nextRow = row
	actions := []endive.Action{decision(s, string(e.Outcome), fmt.Sprintf("status %d, %d bytes", e.Status, len(e.Body)))}
	actions = append(actions, m.answerOutcome(s)...)
	if endive.Bytes(len(e.Body)) > m.settings.MaxInline {
		s.nextRow.Object = fmt.Sprintf("outcomes/%s/%s", s.key[len(intentPrefix):], e.Request)
		return append(actions, m.storeBody(s)...)
	}
	s.nextRow.Body = e.Body
	return append(actions, m.writeOutcome(s)...)
}

// answerOutcome returns the outcome that is being recorded to the waiters.
func (m *Machine) answerOutcome(s *keyState) []endive.Action {
	actions := s.rejectMismatched()
	a := Result{
		Outcome: s.nextRow.State.outcome(), Status: s.nextRow.Status, Body: s.body,
		Reason: "run by " + string(s.nextRow.Entry),
	}
	return append(actions, s.answerWaiters(a, allWaiters)...)
}

// storeBody writes the response body to the object store.
func (m *Machine) storeBody(s *keyState) []endive.Action {
	s.phase = phaseStoringBody
	m.objects[s.nextRow.Object] = s
	return []endive.Action{StoreObject{Name: s.nextRow.Object, Body: s.body}}
}

// handleObjectStored records the outcome once its body is in the object store.
func (m *Machine) handleObjectStored(now time.Time, e ObjectStored) []endive.Action {
	s := m.objects[e.Name]
	if s == nil || s.phase != phaseStoringBody {
		return nil
	}
	delete(m.objects, e.Name)
	if e.Failed {
		m.schedule(now, s, m.settings.RetryDelay)
		return nil
	}
	return m.writeOutcome(s)
}

// writeOutcome sends the transaction that records an outcome.
func (m *Machine) writeOutcome(s *keyState) []endive.Action {
	s.phase = phaseWritingOutcome
	return []endive.Action{m.commitRow(s, s.nextRow)}
}

// handleObjectFetched returns the recorded outcome to the waiters once its body was
// read.
func (m *Machine) handleObjectFetched(now time.Time, e ObjectFetched) []endive.Action {
	s := m.objects[e.Name]
	if s == nil || s.phase != phaseLoadingBody {
		return nil
	}
	delete(m.objects, e.Name)
	if !e.Failed {
		return m.answerRow(now, s, e.Body)
	}
	actions := s.answerWaiters(Result{
		Unavailable: true, RetryAt: m.settings.RetryDelay.After(now), Reason: "the object store can't be reached",
	}, func(w waiter) bool { return w.isLookup })
	if len(s.waiters) == 0 {
		s.phase = phaseIdle
		m.dropIfIdle(now, s)
		return actions
	}
	s.phase = phasePolling
	m.schedule(now, s, m.settings.RetryDelay)
	return actions
}
