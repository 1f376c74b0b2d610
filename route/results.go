package route

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"endiveroute.example/endive"
)

// handleResult handles the result of an attempt. An unknown attempt has ended
// before, possibly at its deadline.
func (m *Machine) handleResult(now time.Time, r AttemptResult) {
	a := m.attempts[r.Attempt]
	if a == nil {
		return
	}
	failed := m.recordResult(now, a, r.Reply)
	m.endAttempt(now, a, r.Reply, failed)
	if e := a.execution; e != nil {
		e.attempts = slices.DeleteFunc(e.attempts, func(o *attempt) bool { return o == a })
		m.handleAttemptEnd(now, e, a, r.Reply)
	}
	m.dispatchQueued(now, m.services[a.executor.service])
}

// endAttempt removes an attempt and releases its slot, immediately or later.
func (m *Machine) endAttempt(now time.Time, a *attempt, reply endive.Reply, failed bool) {
	delete(m.attempts, a.id)
	a.executor.busy--
	t := timer{
		at: m.slotFreeAt(a, reply, failed), kind: timerSlotRelease,
		executor: a.executor.id, service: a.executor.service, started: a.started,
	}
	if t.at.After(now) {
		m.timers.set(t)
		return
	}
	m.releaseSlot(now, t)
}

// slotFreeAt returns when the slot of an ended attempt is released. The slot of
// a failed attempt is held for the mean service time, so that an executor that
// fails immediately gets no more requests than others. After an unknown outcome
// the executor may still be running the request, until the attempt's deadline.
func (m *Machine) slotFreeAt(a *attempt, reply endive.Reply, failed bool) time.Time {
	switch {
	case reply.Outcome == endive.Unknown && !reply.Ended:
		return a.deadline
	case failed:
		return a.started.Add(seconds(m.services[a.executor.service].times.mean))
	}
	return a.started
}

// releaseSlot releases the slot of an ended attempt.
func (m *Machine) releaseSlot(now time.Time, t timer) {
	m.services[t.service].freeSlot(now.Sub(t.started))
	m.forwardSlotActions(m.slots.Release(now, t.executor))
}

// handleAttemptEnd answers the clients, retries or waits for other attempts,
// depending on an attempt's result.
func (m *Machine) handleAttemptEnd(now time.Time, e *execution, a *attempt, reply endive.Reply) {
	serverError := reply.Status >= http.StatusInternalServerError
	switch {
	case reply.Outcome == endive.Answered && (!serverError || e.nonIdempotent):
		m.answerClients(e, Answer{Outcome: endive.Answered, Status: reply.Status, Body: reply.Body})
		return
	case reply.Outcome == endive.Answered:
		e.failure = &reply
		e.mayHaveRun = true
	case reply.Outcome == endive.Unknown:
		e.mayHaveRun = true
		if now.Before(a.deadline) && !reply.Ended {
			e.broken++
		}
	}
	if len(e.attempts) > 0 {
		return
	}
	m.retry(now, e, a, reply)
}

// maxBrokenAttempts is the number of attempts at a request whose connections break until it is
// given up: it may be what crashes the executors.
const maxBrokenAttempts = 3

// retry puts an unanswered execution back into the queue, or fails it if it
// must not be retried.
func (m *Machine) retry(now time.Time, e *execution, a *attempt, reply endive.Reply) {
	reason := fmt.Sprintf("attempt on %s: %s %s", a.executor.id, reply.Outcome, reply.Reason)
	switch {
	case e.broken >= maxBrokenAttempts:
		m.failExecution(e, reason+"; the connections of "+fmt.Sprint(e.broken)+" attempts broke", now)
		return
	case e.index >= 0:
		// A hedged attempt is queued already.
		return
	case reply.Outcome != endive.NotRun && e.nonIdempotent:
		m.failExecution(e, reason, now)
		return
	case reply.Outcome != endive.NotRun && !e.service.retries.spend(1):
		m.failExecution(e, reason+"; the retry budget is exhausted", now)
		return
	}
	m.logDecision(endive.DecisionRetry, string(e.request), string(e.service.config.Name), reason)
	e.service.queue.push(e)
}

// recordResult updates the statistics of the executor and its service from an
// attempt's result, and reports whether the attempt failed.
func (m *Machine) recordResult(now time.Time, a *attempt, reply endive.Reply) bool {
	x := a.executor
	if reply.Leaving && !x.leaving {
		x.leaving = true
		m.logDecision(endive.DecisionMember, string(x.id), string(endive.MemberLeaving), "executor announced its departure in a response")
		m.emit(ExecutorLeaving{Executor: x.id})
	}
	if reply.Outcome == endive.Answered && reply.Status < http.StatusInternalServerError {
		duration := now.Sub(a.started)
		x.lastReply = now
		x.suspectConns = false
		x.recordServiceTime(duration.Seconds())
		s := m.services[x.service]
		s.recordAnswer(duration, len(reply.Body))
		if a.started.After(s.latestAnsweredStart) {
			s.latestAnsweredStart = a.started
		}
		m.recordSuccess(x)
		return false
	}
	if reply.Refused {
		// The executor works, but its slots are used by other entries.
		x.lastReply = now
		return true
	}
	m.recordFailure(now, x, a.probe)
	return true
}
