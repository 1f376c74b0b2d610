package place

import (
	"time"

	"endiveroute.example/endive"
)

// takeover is what a new holder does not know yet of the former holder's tasks.
type takeover struct {
	// until is when everything that the former holder started has certainly
	// ended or lapsed, on workers that haven't answered.
	until time.Time
	// watchersAt is when watchers are started again in spite of silent workers.
	watchersAt time.Time
	// held are the jobs whose tasks may run on a worker that hasn't answered.
	held    []*job
	settled bool
}

// leaseChanged takes the slice over, or notes a renewal or loss.
func (m *Machine) leaseChanged(e endive.LeaseChanged) {
	if !e.Held {
		m.lease.Held = false
		if m.now.Before(m.lease.ExpiresAt) {
			m.lease.ExpiresAt = m.now
		}
		return
	}
	if m.active && e.Epoch == m.lease.Epoch {
		m.lease = e
		m.changed = true
		return
	}
	m.takeOver(e)
}

// takeOver forgets the state of a former epoch and starts to ask.
func (m *Machine) takeOver(e endive.LeaseChanged) {
	m.active, m.releasing = true, false
	m.lease = e
	m.jobs = make(map[endive.JobID]*job)
	m.teams = make(map[endive.TeamName]*team)
	m.ranks = nil
	m.lower = 1
	m.workers = newWorkers()
	m.queue = newQueue()
	m.delayed = nil
	m.gangHold = nil
	m.recorder = recorder{}
	m.waiting, m.acceleratorsWaiting, m.parked = 0, 0, 0
	m.sweepAt, m.wakeAt = m.now, time.Time{}
	m.loader.restart(m.now)
	m.usages.scanner.restart()
	m.usages.slices = make(map[string]map[endive.TeamName]endive.Resources)
	m.usages.changed = m.usages.needed
	until := m.lapse(m.now)
	if !e.HandedOver {
		until = m.settings.OutageGrace.After(until)
	}
	watchers := m.settings.CommandTimeout.After(m.settings.CommandTimeout.After(m.now))
	m.takeover = takeover{until: until, watchersAt: watchers}
	m.updateWorkers()
	m.decide(endive.DecisionLease, string(m.slice.ID), "taken over", "asking all workers first")
}

// lapse returns when a task lease has certainly run out that is renewed at the
// given time.
func (m *Machine) lapse(at time.Time) time.Time {
	return m.settings.ClockMargin.After(m.settings.TaskLease.After(m.settings.CommandTimeout.After(at)))
}

// settle queues the jobs that were held back, once nothing of the former holder
// can be unknown any more.
func (m *Machine) settle() {
	t := &m.takeover
	if t.settled || !m.loader.loaded {
		return
	}
	unanswered := m.workers.unanswered()
	if unanswered == 0 || !m.now.Before(t.until) {
		t.settled = true
		m.recordRoster()
		for _, j := range t.held {
			j.held = false
			if len(j.running) > 0 && j.waitingTasks()+len(j.delayed) > 0 {
				m.regroup(j)
			}
			m.enqueue(j)
		}
		t.held = nil
		m.decide(endive.DecisionLease, string(m.slice.ID), "settled", "every worker has answered or its leases have run out")
		return
	}
	if m.now.Before(t.watchersAt) {
		return
	}
	rest := t.held[:0]
	for _, j := range t.held {
		if j.Kind == endive.KindWatcher {
			j.held = false
			m.enqueue(j)
			continue
		}
		rest = append(rest, j)
	}
	t.held = rest
}

// handOver stops all new work for a planned stop.
func (m *Machine) handOver() {
	m.releasing = true
	for _, w := range m.workers.list {
		starts := w.starts
		w.starts = nil
		m.returnStarts(w, starts)
	}
}

// release answers HandOver once nothing is in flight and nothing of a former
// holder is unknown. Leases that were given here run out in the time that the
// next holder counts in any case.
func (m *Machine) release() {
	if !m.releasing || !m.takeover.settled || !m.recorder.idle() {
		return
	}
	for _, w := range m.workers.list {
		if w.flight != nil {
			return
		}
	}
	m.active = false
	m.emit(Released{Slice: m.slice.ID})
}
