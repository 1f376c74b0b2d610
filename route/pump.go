package route

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// pumpAll dispatches what waits of every service.
func (m *Machine) pumpAll(now time.Time) {
	names := make([]string, 0, len(m.services))
	for name := range m.services {
		names = append(names, string(name))
	}
	sort.Strings(names)
	for _, name := range names {
		m.pump(now, m.services[endive.ServiceName(name)])
	}
}

// pump dispatches waiting requests of a service while there are free slots.
func (m *Machine) pump(now time.Time, s *service) {
	var stuck []*execution
	for s.queue.len() > 0 {
		e := s.queue.heap[0]
		if m.tooLate(now, e) {
			m.unqueue(e, "too little time is left to run it", now)
			continue
		}
		x, reason := m.choose(now, e)
		if x != nil {
			if m.dispatch(now, e, x, reason) == nil {
				break
			}
			m.probe(now, e)
			continue
		}
		if len(e.tried) == 0 {
			break
		}
		if m.exhausted(e) {
			m.unqueue(e, fmt.Sprintf("tried all %d executors in use", len(e.tried)), unlistedRetry.After(now))
			continue
		}
		// Others may use slots of the executors that this one has tried.
		s.queue.remove(e)
		stuck = append(stuck, e)
	}
	for _, e := range stuck {
		s.queue.push(e)
	}
	m.want(now, s)
}

// unqueue stops trying e. It is answered, unless an attempt still goes on.
func (m *Machine) unqueue(e *execution, reason string, retryAt time.Time) {
	e.service.queue.remove(e)
	if len(e.attempts) == 0 {
		m.giveUp(e, reason, retryAt)
	}
}

// tooLate reports whether an execution that waits is not worth starting.
func (m *Machine) tooLate(now time.Time, e *execution) bool {
	return e.last().Sub(now).Seconds() < e.service.times.mean
}

// exhausted reports whether no executor is left that e hasn't tried.
func (m *Machine) exhausted(e *execution) bool {
	for _, x := range e.service.executors {
		if x.usable() && !e.hasTried(x) {
			return false
		}
	}
	return true
}

// choose returns the executor for e, or nil if none should run it now.
func (m *Machine) choose(now time.Time, e *execution) (*executor, string) {
	candidates, executors := m.candidates(now, e, false)
	if len(candidates) == 0 && m.worthCrossing(now, e) {
		candidates, executors = m.candidates(now, e, true)
	}
	i, reason := m.router.Choose(candidates)
	if i < 0 {
		return nil, reason
	}
	return executors[i], reason
}

// candidates returns the executors with a free slot that e hasn't tried, either
// near or beyond the link.
func (m *Machine) candidates(now time.Time, e *execution, far bool) (endive.Candidates, []*executor) {
	candidates, executors := m.scratch[:0], m.scratchExecutors[:0]
	for _, x := range e.service.executors {
		if (x.distance == endive.OtherRegion) != far || !m.open(now, e, x) || e.hasTried(x) {
			continue
		}
		free := m.slots.Free(now, x.id)
		if free <= 0 {
			continue
		}
		candidates = append(candidates, m.candidate(x, e.service, free))
		executors = append(executors, x)
	}
	m.scratch, m.scratchExecutors = candidates, executors
	return candidates, executors
}

// open reports whether x may get e, but for its slots. An ejected executor of a
// service whose requests can't be copied is probed with a request itself.
func (m *Machine) open(now time.Time, e *execution, x *executor) bool {
	if e.service.config.NonIdempotent && m.probeDue(now, x) {
		return true
	}
	return x.usable() && x.spare() && x.busy < m.connections(e.service)
}

// connections returns how many connections this entry may have to an executor.
// One entry more than are known is counted in, for one that just starts.
func (m *Machine) connections(s *service) int {
	return max(1, s.config.Connections/(m.entries+1))
}

// candidate describes x to the policy.
func (m *Machine) candidate(x *executor, s *service, free int) endive.Candidate {
	took := x.serviceTime
	if took == 0 {
		took = s.times.mean
	}
	return endive.Candidate{
		Executor: x.id, Distance: x.distance, Free: free, Busy: x.busy,
		ServiceTime: endive.Interval(seconds(took)), FailureRate: x.health.rate,
	}
}

// dispatch starts an attempt at e on x, whose slot is free.
func (m *Machine) dispatch(now time.Time, e *execution, x *executor, reason string) *attempt {
	if !m.slots.Acquire(now, x.id) {
		return nil
	}
	e.service.queue.remove(e)
	if x.distance == endive.OtherRegion {
		m.crossing.spend(m.crossBytes(e))
	}
	m.attemptSeq++
	a := &attempt{
		id:       endive.AttemptID(fmt.Sprintf("%s/%s/%d", m.settings.Entry, m.settings.Incarnation, m.attemptSeq)),
		executor: x, started: now, deadline: e.last(), execution: e, probe: x.health.ejected,
	}
	first := len(e.tried) == 0
	if first {
		e.service.retries.add(m.settings.RetryShare)
	}
	x.busy++
	e.service.holdSlot()
	m.attempts[a.id] = a
	e.attempts = append(e.attempts, a)
	e.tried = append(e.tried, x)
	m.timers.set(timer{at: replyGrace.After(a.deadline), kind: timerAttempt, attempt: a.id})
	m.watch(now, a)
	m.decide(endive.DecisionRoute, string(e.request), string(x.id), reason)
	m.emit(Dispatch{Call: endive.Call{
		Attempt: a.id, Request: e.request, Service: e.service.config.Name, Executor: x.id,
		Address: x.address, Deadline: a.deadline, Body: e.body,
		MaxAnswer: e.service.config.MaxAnswer, FreshConnection: !first || x.doubted, Connections: m.connections(e.service),
	}})
	return a
}

// want tells the slots part what waits, if that changed.
func (m *Machine) want(now time.Time, s *service) {
	demand := endive.SlotDemand{
		Service: s.config.Name, Waiting: s.queue.len(), CrossRegion: m.far(s), Oldest: s.queue.oldest(),
	}
	for _, x := range s.executors {
		if !x.usable() && !m.probeDue(now, x) {
			demand.Avoid = append(demand.Avoid, x.id)
		}
	}
	if demand.Equal(s.wanted) {
		return
	}
	s.wanted = demand
	m.absorb(m.slots.SetDemand(now, demand))
}
