package route

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// replyGrace is how long after its deadline an attempt without a result is
	// ended.
	replyGrace = endive.Interval(time.Second)
	// checksUnderLoad is the number of checks without a reply after which a
	// hedged attempt is queued even if other requests are waiting.
	checksUnderLoad = 2
)

// fireTimers handles all timers that are due.
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

// liveTimer reports whether the request or attempt of a timer still exists.
func (m *Machine) liveTimer(t timer) bool {
	switch t.kind {
	case timerClientDeadline:
		return m.clients[t.request] != nil
	case timerSlotRelease:
		return true
	}
	return m.attempts[t.attempt] != nil
}

// handleOverdue cancels an attempt that has no result some time after its
// deadline.
func (m *Machine) handleOverdue(now time.Time, id endive.AttemptID) {
	if m.attempts[id] == nil {
		return
	}
	m.emit(CancelCall{Attempt: id})
	m.handleResult(now, AttemptResult{Attempt: id, Reply: endive.Reply{
		Outcome: endive.Unknown, Reason: "no reply by its deadline",
	}})
}

// scheduleSilenceCheck schedules the next check of an attempt for a missing
// reply.
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

// checkSilence handles an attempt that has had no reply for longer than usual.
// If its executor hasn't replied to any other attempt since, a failure is
// recorded. An idempotent request is tried on another executor.
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

// hedge queues a second attempt at an idempotent request while the first one is
// still running.
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
		// A queued execution may now use the executor of the lost attempt again.
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
