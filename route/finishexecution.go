package route

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// handleAbandon removes a client that has disconnected.
func (m *Machine) handleAbandon(now time.Time, a Abandon) {
	c := m.clients[a.Request]
	if c == nil {
		return
	}
	m.removeClient(now, c)
}

// removeClient removes a client from its execution. The execution ends if no
// client is left.
func (m *Machine) removeClient(now time.Time, c *client) {
	delete(m.clients, c.request)
	e := c.execution
	e.clients = slices.DeleteFunc(e.clients, func(o *client) bool { return o == c })
	if len(e.clients) > 0 {
		e.request = e.clients[0].request
		return
	}
	m.removeExecution(e)
	m.updateDemand(now, e.service)
}

// clientDeadline answers a client whose deadline has passed.
func (m *Machine) clientDeadline(now time.Time, request endive.RequestID) {
	c := m.clients[request]
	if c == nil || c.deadline.After(now) {
		return
	}
	e := c.execution
	answer := Answer{Request: request, Outcome: e.outcome(), Reason: "the deadline has passed"}
	switch answer.Outcome {
	case endive.Answered:
		answer.Status, answer.Body = e.failure.Status, e.failure.Body
	case endive.NotRun:
		answer.RetryAt = now.Add(seconds(m.expectedWait(e.service)))
	}
	m.logDecision(endive.DecisionRefuse, string(request), string(answer.Outcome), answer.Reason)
	m.emit(answer)
	m.removeClient(now, c)
}

// failExecution answers all clients of an execution that gets no further
// attempt.
func (m *Machine) failExecution(e *execution, reason string, retryAt time.Time) {
	answer := Answer{Outcome: e.outcome(), Reason: reason}
	switch answer.Outcome {
	case endive.Answered:
		answer.Status, answer.Body = e.failure.Status, e.failure.Body
	case endive.NotRun:
		answer.RetryAt = retryAt
	}
	m.logDecision(endive.DecisionRefuse, string(e.request), string(answer.Outcome), reason)
	m.answerClients(e, answer)
}

// answerClients sends the same answer to all clients and ends the execution.
func (m *Machine) answerClients(e *execution, answer Answer) {
	for _, c := range e.clients {
		answer.Request = c.request
		m.emit(answer)
		delete(m.clients, c.request)
	}
	e.clients = nil
	m.removeExecution(e)
}

// removeExecution removes an execution. Its attempts keep their slots until
// their results arrive, because an executor may not notice that an attempt was
// cancelled.
func (m *Machine) removeExecution(e *execution) {
	s := e.service
	s.queue.remove(e)
	if s.byDigest[e.digest] == e {
		delete(s.byDigest, e.digest)
	}
	for _, a := range e.attempts {
		a.execution = nil
	}
	e.attempts = nil
}
