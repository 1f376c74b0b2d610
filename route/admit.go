package route

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// refusal is the reason for refusing a request, and when the client should
// retry.
type refusal struct {
	reason  string
	retryAt time.Time
}

// noExecutorRetry is the suggested retry delay if the service has no usable
// executor.
const noExecutorRetry = endive.Interval(time.Second)

// handleRequest queues a request, lets it join an identical one, or refuses it.
func (m *Machine) handleRequest(now time.Time, request ClientRequest) {
	if m.clients[request.Request] != nil {
		return
	}
	s, refused := m.admit(now, &request)
	if refused != nil {
		m.refuse(request.Request, *refused)
		return
	}
	c := &client{request: request.Request, deadline: request.Deadline}
	m.clients[request.Request] = c
	m.timers.set(timer{at: request.Deadline, kind: timerClientDeadline, request: request.Request})
	if m.joinExecution(s, c, request) {
		return
	}
	m.executionSeq++
	e := &execution{
		request: request.Request, service: s, body: request.Body, digest: request.Digest,
		nonIdempotent: request.NonIdempotent, arrived: now, deadline: request.Deadline,
		seq: m.executionSeq, index: -1, clients: []*client{c},
	}
	c.execution = e
	if m.shareable(s, request) {
		s.byDigest[request.Digest] = e
	}
	s.queue.push(e)
	m.dispatchQueued(now, s)
}

// refuse answers a request that isn't admitted.
func (m *Machine) refuse(request endive.RequestID, r refusal) {
	m.logDecision(endive.DecisionRefuse, string(request), string(endive.NotRun), r.reason)
	m.emit(Answer{Request: request, Outcome: endive.NotRun, RetryAt: r.retryAt, Reason: r.reason})
}

// shareable reports whether identical requests may share one execution.
func (m *Machine) shareable(s *service, request ClientRequest) bool {
	return s.config.ShareEqual && !request.NonIdempotent && request.Digest != ""
}

// joinExecution adds a client to the execution of an identical request, if
// there is one.
func (m *Machine) joinExecution(s *service, c *client, request ClientRequest) bool {
	if !m.shareable(s, request) {
		return false
	}
	e := s.byDigest[request.Digest]
	if e == nil || len(e.clients) >= m.settings.QueueLimit {
		return false
	}
	e.clients = append(e.clients, c)
	c.execution = e
	m.logDecision(endive.DecisionRoute, string(request.Request), string(e.request), "shares the execution of an identical request")
	return true
}

// admit fills in the request's defaults and checks whether it can be queued and
// finished before its deadline.
func (m *Machine) admit(now time.Time, request *ClientRequest) (*service, *refusal) {
	if m.draining {
		return nil, &refusal{reason: "this entry is stopping", retryAt: now}
	}
	s := m.services[request.Service]
	if s == nil || s.config.Removed {
		return nil, &refusal{reason: fmt.Sprintf("service %q is not configured", request.Service)}
	}
	request.NonIdempotent = request.NonIdempotent || s.config.NonIdempotent
	if request.Deadline.IsZero() {
		request.Deadline = s.config.Timeout.After(now)
	}
	if !request.Deadline.After(now) {
		return nil, &refusal{reason: "the deadline has passed", retryAt: now}
	}
	if s.queue.len() >= m.settings.QueueLimit {
		return nil, &refusal{
			reason:  fmt.Sprintf("the queue is full with %d requests", s.queue.len()),
			retryAt: now.Add(seconds(m.expectedWait(s) / 2)),
		}
	}
	return s, m.checkDeadline(now, s, *request)
}

// checkDeadline returns a refusal if the request isn't expected to finish
// before its deadline.
func (m *Machine) checkDeadline(now time.Time, s *service, request ClientRequest) *refusal {
	local, remote := s.usable()
	if local+remote == 0 {
		return &refusal{
			reason:  fmt.Sprintf("none of %d executors is usable", len(s.executors)),
			retryAt: noExecutorRetry.After(now),
		}
	}
	wait := m.expectedWait(s)
	if wait == 0 {
		return nil
	}
	remaining := request.Deadline.Sub(now).Seconds()
	excess := wait + s.times.p99 - remaining
	if excess <= 0 {
		return nil
	}
	return &refusal{
		reason:  fmt.Sprintf("expected wait %.0f ms and service time %.0f ms, %.0f ms left", wait*1e3, s.times.p99*1e3, remaining*1e3),
		retryAt: now.Add(seconds(excess)),
	}
}

// expectedWait returns the expected wait of one more request, in seconds; 0 if
// the queue is empty.
func (m *Machine) expectedWait(s *service) float64 {
	if s.queue.len() == 0 {
		return 0
	}
	return s.waitFor(s.queue.len()+1, m.expectedSlots(s))
}

// expectedSlots returns how many slots this entry can expect to have for a
// service: those that this entry holds now, but at least half of an even share.
func (m *Machine) expectedSlots(s *service) int {
	local, remote := s.usable()
	return max(s.heldSlots, (local+remote)*s.config.Slots/(2*max(1, m.entryCount)))
}
