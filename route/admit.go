package route

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// refusal says why a request is refused and when to come back.
type refusal struct {
	reason  string
	retryAt time.Time
}

// noExecutorRetry is after how long a request is worth another try where the
// service has no executor.
const noExecutorRetry = endive.Interval(time.Second)

// handleRequest admits, shares or refuses a request.
func (m *Machine) handleRequest(now time.Time, ask ClientRequest) {
	if m.clients[ask.Request] != nil {
		return
	}
	s, refused := m.admit(now, &ask)
	if refused != nil {
		m.refuse(ask.Request, *refused)
		return
	}
	c := &client{request: ask.Request, deadline: ask.Deadline}
	m.clients[ask.Request] = c
	m.timers.set(timer{at: ask.Deadline, kind: timerClientDeadline, request: ask.Request})
	if m.joinExecution(s, c, ask) {
		return
	}
	m.executionSeq++
	e := &execution{
		request: ask.Request, service: s, body: ask.Body, digest: ask.Digest,
		nonIdempotent: ask.NonIdempotent, arrived: now, deadline: ask.Deadline,
		seq: m.executionSeq, index: -1, clients: []*client{c},
	}
	c.execution = e
	if m.shareable(s, ask) {
		s.byDigest[ask.Digest] = e
	}
	s.queue.push(e)
	m.dispatchQueued(now, s)
}

// refuse answers a request that isn't taken in.
func (m *Machine) refuse(request endive.RequestID, r refusal) {
	m.logDecision(endive.DecisionRefuse, string(request), string(endive.NotRun), r.reason)
	m.emit(Answer{Request: request, Outcome: endive.NotRun, RetryAt: r.retryAt, Reason: r.reason})
}

// shareable reports whether equal questions may share an execution of ask.
func (m *Machine) shareable(s *service, ask ClientRequest) bool {
	return s.config.ShareEqual && !ask.NonIdempotent && ask.Digest != ""
}

// joinExecution joins c to an execution of an equal question, if there is one.
func (m *Machine) joinExecution(s *service, c *client, ask ClientRequest) bool {
	if !m.shareable(s, ask) {
		return false
	}
	e := s.byDigest[ask.Digest]
	if e == nil || len(e.clients) >= m.settings.QueueLimit {
		return false
	}
	e.clients = append(e.clients, c)
	c.execution = e
	m.logDecision(endive.DecisionRoute, string(ask.Request), string(e.request), "shares the execution of an equal question")
	return true
}

// admit fills in what ask leaves out and checks that the request can be taken
// in and finished in time.
func (m *Machine) admit(now time.Time, ask *ClientRequest) (*service, *refusal) {
	if m.draining {
		return nil, &refusal{reason: "this entry is stopping", retryAt: now}
	}
	s := m.services[ask.Service]
	if s == nil || s.config.Removed {
		return nil, &refusal{reason: fmt.Sprintf("service %q is not configured", ask.Service)}
	}
	ask.NonIdempotent = ask.NonIdempotent || s.config.NonIdempotent
	if ask.Deadline.IsZero() {
		ask.Deadline = s.config.Timeout.After(now)
	}
	if !ask.Deadline.After(now) {
		return nil, &refusal{reason: "the deadline has passed", retryAt: now}
	}
	if s.queue.len() >= m.settings.QueueLimit {
		return nil, &refusal{
			reason:  fmt.Sprintf("%d requests wait, the most that may", s.queue.len()),
			retryAt: now.Add(seconds(m.expectedWait(s) / 2)),
		}
	}
	return s, m.checkDeadline(now, s, *ask)
}

// checkDeadline returns a refusal if the request can't be expected to end in time.
func (m *Machine) checkDeadline(now time.Time, s *service, ask ClientRequest) *refusal {
	local, remote := s.usable()
	if local+remote == 0 {
		return &refusal{
			reason:  fmt.Sprintf("none of %d executors is in use", len(s.executors)),
			retryAt: noExecutorRetry.After(now),
		}
	}
	wait := m.expectedWait(s)
	if wait == 0 {
		return nil
	}
	remaining := ask.Deadline.Sub(now).Seconds()
	excess := wait + s.times.p99 - remaining
	if excess <= 0 {
		return nil
	}
	return &refusal{
		reason:  fmt.Sprintf("expected wait %.0f ms and run %.0f ms, %.0f ms left", wait*1e3, s.times.p99*1e3, remaining*1e3),
		retryAt: now.Add(seconds(excess)),
	}
}

// expectedWait returns the expected wait of one more request, in seconds. It is
// 0 where nothing waits.
func (m *Machine) expectedWait(s *service) float64 {
	if s.queue.len() == 0 {
		return 0
	}
	return s.waitFor(s.queue.len()+1, m.expectedSlots(s))
}

// expectedSlots returns how many slots this entry counts on for a service: those it
// holds, but no less than half of its even share.
func (m *Machine) expectedSlots(s *service) int {
	local, remote := s.usable()
	return max(s.heldSlots, (local+remote)*s.config.Slots/(2*max(1, m.entryCount)))
}
