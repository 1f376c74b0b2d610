package route

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// replyGrace is how long after an attempt's deadline its end is waited for.
	replyGrace = endive.Interval(time.Second)
	// checksUnderLoad is how often an attempt must be found without a reply before
	// the second try goes ahead of requests that wait.
	checksUnderLoad = 2
)

// fireTimers handles the timers that are due.
func (m *Machine) fireTimers(now time.Time) {
	for {
		t, ok := m.timers.pop(now)
		if !ok {
			return
		}
		switch t.kind {
		case timerClientDeadline:
			m.clientDeadline(now, t.request)
		case timerSilence:
			m.checkSilence(now, t.attempt)
		case timerAttemptEnd:
			m.handleOverdue(now, t.attempt)
		case timerSlotRelease:
			m.releaseSlot(now, t)
			m.dispatchQueued(now, m.services[t.service])
		}
	}
}

// liveTimer reports whether the subject of t isn't over.
func (m *Machine) liveTimer(t timer) bool {
	switch t.kind {
	case timerClientDeadline:
		return m.clients[t.request] != nil
	case timerSlotRelease:
		return true
	}
	return m.attempts[t.attempt] != nil
}

// handleOverdue gives up an attempt that has no end some time after its deadline.
func (m *Machine) handleOverdue(now time.Time, id endive.AttemptID) {
	if m.attempts[id] == nil {
		return
	}
	m.emit(CancelCall{Attempt: id})
	m.handleResult(now, AttemptResult{Attempt: id, Reply: endive.Reply{
		Outcome: endive.Unknown, Reason: "no reply by its deadline",
	}})
}

// scheduleSilenceCheck sets the time at which an attempt is looked at next.
func (m *Machine) scheduleSilenceCheck(now time.Time, a *attempt) {
	after := a.execution.service.times.silenceTimeout(a.deadline.Sub(now).Seconds())
	if a.silenceChecks > 0 {
		after /= 2
	}
	at := now.Add(max(time.Millisecond, seconds(after)))
	if at.Before(a.deadline) {
		m.timers.set(timer{at: at, kind: timerSilence, attempt: a.id})
	}
}

// checkSilence looks at an attempt that has no reply for long. Its executor counts as
// failing if it hasn't replied to any other since, and an idempotent request is
// tried elsewhere.
func (m *Machine) checkSilence(now time.Time, id endive.AttemptID) {
	a := m.attempts[id]
	if a == nil || a.execution == nil {
		return
	}
	a.silenceChecks++
	if a.executor.lastReply.Before(a.started) {
		a.executor.suspectConns = true
		m.recordFailure(now, a.executor, a.probe)
	}
	m.scheduleSilenceCheck(now, a)
	m.hedge(now, a)
}

// hedge queues the second try of an idempotent request.
func (m *Machine) hedge(now time.Time, a *attempt) {
	e := a.execution
	s := e.service
	if e.nonIdempotent {
		return
	}
	isLost := m.isLost(now, a)
	if isLost {
		e.lostAttempt = a
	}
	if e.hedged || e.index >= 0 {
		// What waits already may now go to the same executor once more.
		m.dispatchQueued(now, s)
		return
	}
	underLoad := s.queue.len() > 0 && !isLost
	if underLoad && (a.silenceChecks < checksUnderLoad || a.executor.lastReply.After(a.started)) || m.triedAll(e) {
		return
	}
	if !isLost && !s.retries.spend(1) {
		return
	}
	e.hedged = true
	m.logDecision(endive.DecisionRetry, string(e.request), string(s.config.Name),
		"no reply from "+string(a.executor.id)+" after "+now.Sub(a.started).String())
	s.queue.push(e)
	m.dispatchQueued(now, s)
}
