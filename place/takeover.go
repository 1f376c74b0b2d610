package place

import (
	"time"

	"endiveroute.example/endive"
)

// takeover is what a new holder does not know yet of the former holder's tasks.
type takeover struct {
	// previousLeasesEnd is when everything that the former holder started has certainly
	// ended or lapsed, on workers that haven't answered.
	previousLeasesEnd time.Time
	// watcherRestartAt is when watchers are started again in spite of silent workers.
	watcherRestartAt time.Time
	// heldJobs are the jobs whose tasks may run on a worker that hasn't answered.
	heldJobs []*job
	done     bool
}

// handleLeaseChanged takes the slice over, or notes a renewal or loss.
func (m *Machine) handleLeaseChanged(e endive.LeaseChanged) {
	if !e.Held {
		m.lease.Held = false
		if m.now.Before(m.lease.ExpiresAt) {
			m.lease.ExpiresAt = m.now
		}
		return
	}
	if m.active && e.Epoch == m.lease.Epoch {
		m.lease = e
		m.passNeeded = true
		return
	}
	m.beginTakeover(e)
}

// beginTakeover forgets the state of a former epoch and starts to ask.
func (m *Machine) beginTakeover(e endive.LeaseChanged) {
	m.active, m.handingOver = true, false
	m.lease = e
	m.jobs = make(map[endive.JobID]*job)
	m.teams = make(map[endive.TeamName]*team)
	m.ranking = nil
	m.preemptibleVersion = 1
	m.workers = newWorkers()
	m.queue = newQueue()
	m.delayed = nil
	m.gangReservation = nil
	m.recorder = recorder{}
	m.waitingTasks, m.waitingAcceleratorTasks, m.parkedJobs = 0, 0, 0
	m.sweepAt, m.wakeAt = m.now, time.Time{}
	m.loader.restart(m.now)
	m.usages.scanner.restart()
	m.usages.bySlice = make(map[string]map[endive.TeamName]endive.Resources)
	m.usages.dirty = m.usages.quotasConfigured
	previousLeasesEnd := m.leaseEnd(m.now)
	if !e.HandedOver {
		previousLeasesEnd = m.settings.OutageGrace.After(previousLeasesEnd)
	}
	watcherRestartAt := m.settings.CommandTimeout.After(m.settings.CommandTimeout.After(m.now))
	m.takeover = takeover{previousLeasesEnd: previousLeasesEnd, watcherRestartAt: watcherRestartAt}
	m.updateWorkers()
	m.logDecision(endive.DecisionLease, string(m.slice.ID), "taken over", "asking all workers first")
}

// leaseEnd returns when a task lease has certainly run out that is renewed at the
// given time.
func (m *Machine) leaseEnd(at time.Time) time.Time {
	return m.settings.ClockMargin.After(m.settings.TaskLeaseDuration.After(m.settings.CommandTimeout.After(at)))
}

// finishTakeover queues the jobs that were held back, once nothing of the former holder
// can be unknown any more.
func (m *Machine) finishTakeover() {
	t := &m.takeover
	if t.done || !m.loader.loaded {
		return
	}
	unanswered := m.workers.countUnanswered()
	if unanswered == 0 || !m.now.Before(t.previousLeasesEnd) {
		t.done = true
		m.recordRoster()
		for _, j := range t.heldJobs {
			j.awaitsTakeover = false
			if len(j.running) > 0 && j.waitingTasks()+len(j.delayed) > 0 {
				m.restartGang(j)
			}
			m.enqueue(j)
		}
		t.heldJobs = nil
		m.logDecision(endive.DecisionLease, string(m.slice.ID), "settled", "every worker has answered or its leases have run out")
		return
	}
	if m.now.Before(t.watcherRestartAt) {
		return
	}
	rest := t.heldJobs[:0]
	for _, j := range t.heldJobs {
		if j.Kind == endive.KindWatcher {
			j.awaitsTakeover = false
			m.enqueue(j)
			continue
		}
		rest = append(rest, j)
	}
	t.heldJobs = rest
}

// beginHandOver stops all new work for a planned stop.
func (m *Machine) beginHandOver() {
	m.handingOver = true
	for _, w := range m.workers.list {
		starts := w.starts
		w.starts = nil
		m.requeueStarts(w, starts)
	}
}

// releaseIfIdle answers HandOver once nothing is in flight and nothing of a former
// holder is unknown. Leases that were given here run out in the time that the
// next holder counts in any case.
func (m *Machine) releaseIfIdle() {
	if !m.handingOver || !m.takeover.done || !m.recorder.idle() {
		return
	}
	for _, w := range m.workers.list {
		if w.pending != nil {
			return
		}
	}
	m.active = false
	m.emit(Released{Slice: m.slice.ID})
}
