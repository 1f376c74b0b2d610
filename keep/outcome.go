package keep

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// handleDone handles the outcome of a request sent by this entry. It returns the
// outcome to the waiting clients and records it for later requests.
func (m *Machine) handleDone(now time.Time, e RequestDone) []endive.Action {
	r := m.requests[e.Request]
	if r == nil || r.phase != phaseRunning {
		return nil
	}
	row := r.row
	row.State = stateOf(e.Outcome)
	row.Status = e.Status
	r.body = e.Body
	r.nextRow = row
	actions := []endive.Action{decision(r, string(e.Outcome), fmt.Sprintf("status %d, %d bytes", e.Status, len(e.Body)))}
	actions = append(actions, m.answerOutcome(r)...)
	if endive.Bytes(len(e.Body)) > m.settings.MaxInline {
		r.nextRow.Object = fmt.Sprintf("outcomes/%s/%s", r.key[len(intentPrefix):], e.Request)
		return append(actions, m.storeBody(r)...)
	}
	r.nextRow.Body = e.Body
	return append(actions, m.writeOutcome(r)...)
}

// answerOutcome returns the outcome that is being recorded to the waiters.
func (m *Machine) answerOutcome(r *keyState) []endive.Action {
	actions := r.rejectMismatched()
	a := Result{
		Outcome: r.nextRow.State.outcome(), Status: r.nextRow.Status, Body: r.body,
		Reason: "run by " + string(r.nextRow.Entry),
	}
	return append(actions, r.answerWaiters(a, allWaiters)...)
}

// storeBody writes the response body to the object store.
func (m *Machine) storeBody(r *keyState) []endive.Action {
	r.phase = phaseStoringBody
	m.objects[r.nextRow.Object] = r
	return []endive.Action{StoreObject{Name: r.nextRow.Object, Body: r.body}}
}

// handleObjectStored records the outcome once its body is in the object store.
func (m *Machine) handleObjectStored(now time.Time, e ObjectStored) []endive.Action {
	r := m.objects[e.Name]
	if r == nil || r.phase != phaseStoringBody {
		return nil
	}
	delete(m.objects, e.Name)
	if e.Failed {
		m.schedule(now, r, m.settings.RetryDelay)
		return nil
	}
	return m.writeOutcome(r)
}

// writeOutcome sends the transaction that records an outcome.
func (m *Machine) writeOutcome(r *keyState) []endive.Action {
	r.phase = phaseWritingOutcome
	return []endive.Action{m.commitRow(r, r.nextRow)}
}

// handleObjectFetched returns the recorded outcome to the waiters once its body was
// read.
func (m *Machine) handleObjectFetched(now time.Time, e ObjectFetched) []endive.Action {
	r := m.objects[e.Name]
	if r == nil || r.phase != phaseLoadingBody {
		return nil
	}
	delete(m.objects, e.Name)
	if !e.Failed {
		return m.answerRow(now, r, e.Body)
	}
	actions := r.answerWaiters(Result{
		Unavailable: true, RetryAt: m.settings.RetryDelay.After(now), Reason: "the object store can't be reached",
	}, func(w waiter) bool { return w.isLookup })
	if len(r.waiters) == 0 {
		r.phase = phaseIdle
		m.dropIfIdle(now, r)
		return actions
	}
	r.phase = phasePolling
	m.schedule(now, r, m.settings.RetryDelay)
	return actions
}
