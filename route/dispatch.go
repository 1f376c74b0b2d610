package route

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// dispatchAll dispatches the queued requests of all services.
func (m *Machine) dispatchAll(now time.Time) {
	names := make([]string, 0, len(m.services))
	for name := range m.services {
		names = append(names, string(name))
	}
	sort.Strings(names)
	for _, name := range names {
		m.dispatchQueued(now, m.services[endive.ServiceName(name)])
	}
}

// dispatchQueued dispatches queued requests of a service while slots are free.
func (m *Machine) dispatchQueued(now time.Time, s *service) {
	var blocked []*execution
	for s.queue.len() > 0 {
		e := s.queue.heap[0]
		if m.tooLate(now, e) {
			m.dequeue(e, "the remaining time is shorter than the mean service time", now)
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
		if m.triedAll(e) {
			m.dequeue(e, fmt.Sprintf("tried all %d usable executors", len(e.tried)), noExecutorRetry.After(now))
			continue
		}
		// Later requests may still use executors that this request has already
		// tried.
		s.queue.remove(e)
		blocked = append(blocked, e)
	}
	for _, e := range blocked {
		s.queue.push(e)
	}
	m.updateDemand(now, s)
}

// dequeue removes an execution from the queue and makes no further attempt. The
// clients are answered unless an attempt is still running.
func (m *Machine) dequeue(e *execution, reason string, retryAt time.Time) {
	e.service.queue.remove(e)
	if len(e.attempts) == 0 {
		m.failExecution(e, reason, retryAt)
	}
}

// tooLate reports whether a queued execution has less time left than the mean
// service time.
func (m *Machine) tooLate(now time.Time, e *execution) bool {
	return e.lastDeadline().Sub(now).Seconds() < e.service.times.mean
}

// triedAll reports whether an execution has tried all usable executors.
func (m *Machine) triedAll(e *execution) bool {
	for _, x := range e.service.executors {
		if x.usable() && !e.hasTried(x) {
			return false
		}
	}
	return true
}

// choose returns the executor for an execution and the reason for the choice,
// or nil if the execution can't be dispatched now.
func (m *Machine) choose(now time.Time, e *execution) (*executor, string) {
	candidates, executors := m.candidates(now, e, false)
	if len(candidates) == 0 && m.worthCrossRegion(now, e) {
		candidates, executors = m.candidates(now, e, true)
	}
	i, reason := m.router.Choose(candidates)
	if i < 0 {
		return nil, reason
	}
	return executors[i], reason
}

// candidates returns the executors with a free slot that an execution hasn't
// tried, either in this region or in other regions.
func (m *Machine) candidates(now time.Time, e *execution, remote bool) (endive.Candidates, []*executor) {
	candidates, executors := m.scratch[:0], m.scratchExecutors[:0]
	for _, x := range e.service.executors {
		if (x.distance == endive.OtherRegion) != remote || !m.mayReceive(now, e, x) || e.hasTried(x) {
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

// mayReceive reports whether an executor may receive an execution, provided
// that a slot is free. Non-idempotent requests can't be copied for a probe, so
// an ejected executor of such a service is probed with a request itself.
func (m *Machine) mayReceive(now time.Time, e *execution, x *executor) bool {
	if e.service.config.NonIdempotent && m.probeDue(now, x) {
		return true
	}
	return x.usable() && x.belowLimit() && x.busy < m.maxConnections(e.service)
}

// maxConnections returns the maximum number of connections from this entry to
// one executor. The limit is divided by one more than the known entries,
// because another entry may just be starting.
func (m *Machine) maxConnections(s *service) int {
	return max(1, s.config.Connections/(m.entryCount+1))
}

// candidate describes an executor for the router.
func (m *Machine) candidate(x *executor, s *service, free int) endive.Candidate {
	serviceTime := x.serviceTime
	if serviceTime == 0 {
		serviceTime = s.times.mean
	}
	return endive.Candidate{
		Executor: x.id, Distance: x.distance, Free: free, Busy: x.busy,
		ServiceTime: endive.Interval(seconds(serviceTime)), FailureRate: x.health.rate,
	}
}

// dispatch starts an attempt at an execution on an executor. It returns nil if
// no slot of the executor is free.
func (m *Machine) dispatch(now time.Time, e *execution, x *executor, reason string) *attempt {
	if !m.slots.Acquire(now, x.id) {
		return nil
	}
	e.service.queue.remove(e)
	if x.distance == endive.OtherRegion {
		m.crossRegionBudget.spend(m.crossBytes(e))
	}
	m.attemptSeq++
	a := &attempt{
		id:       endive.AttemptID(fmt.Sprintf("%s/%s/%d", m.settings.Entry, m.settings.Incarnation, m.attemptSeq)),
		executor: x, started: now, deadline: e.lastDeadline(), execution: e, probe: x.health.ejected,
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
	m.timers.set(timer{at: replyGrace.After(a.deadline), kind: timerAttemptEnd, attempt: a.id})
	m.scheduleSilenceCheck(now, a)
	m.logDecision(endive.DecisionRoute, string(e.request), string(x.id), reason)
	m.emit(Dispatch{Call: endive.Call{
		Attempt: a.id, Request: e.request, Service: e.service.config.Name, Executor: x.id,
		Address: x.address, Deadline: a.deadline, Body: e.body,
		MaxAnswer: e.service.config.MaxAnswer, FreshConnection: !first || x.suspectConns, Connections: m.maxConnections(e.service),
	}})
	return a
}

// updateDemand reports the demand for slots of a service to the slots machine
// if the demand changed.
func (m *Machine) updateDemand(now time.Time, s *service) {
	demand := endive.SlotDemand{
		Service: s.config.Name, Waiting: s.queue.len(), CrossRegion: m.crossRegionDemand(s), Oldest: s.queue.oldest(),
	}
	for _, x := range s.executors {
		if !x.usable() && !m.probeDue(now, x) {
			demand.Avoid = append(demand.Avoid, x.id)
		}
	}
	if demand.Equal(s.lastDemand) {
		return
	}
	s.lastDemand = demand
	m.forwardSlotActions(m.slots.SetDemand(now, demand))
}
