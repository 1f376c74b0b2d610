package place

import (
	"time"

	"endiveroute.example/endive"
)

// takeover is the state of a takeover, until the new holder knows all tasks of
// the previous one.
type takeover struct {
	// previousLeasesEnd is when all leases of the previous holder have certainly
	// expired, even on workers that haven't answered.
	previousLeasesEnd time.Time
	// watcherRestartAt is when watchers are started again even if some workers
	// haven't answered. A watcher may run twice.
	watcherRestartAt time.Time
	// heldJobs are the jobs that aren't queued yet, because their tasks may run on
	// a worker that hasn't answered.
	heldJobs []*job
	done     bool
}

// handleLeaseChanged handles the acquisition, renewal or loss of the slice's
// lease.
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

// beginTakeover resets the state of the previous epoch and starts to poll the
// workers.
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
	m.logDecision(endive.DecisionLease, string(m.slice.ID), "taken over", "polling all workers before tasks are started")
}

// leaseEnd returns when a task lease that is renewed at the given time has
// certainly expired on the worker.
func (m *Machine) leaseEnd(at time.Time) time.Time {
	return m.settings.ClockMargin.After(m.settings.TaskLeaseDuration.After(m.settings.CommandTimeout.After(at)))
}

// finishTakeover queues the held jobs once all workers have answered or all
// leases of the previous holder have expired. Watchers are queued earlier.
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
		m.logDecision(endive.DecisionLease, string(m.slice.ID), "settled", "every worker has answered or its leases have expired")
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

// beginHandOver withdraws the starts that weren't sent, and stops new
// placements.
func (m *Machine) beginHandOver() {
	m.handingOver = true
	for _, w := range m.workers.list {
		unsent := w.starts
		w.starts = nil
		m.requeueStarts(w, unsent)
	}
}

// releaseIfIdle answers HandOver once nothing is in flight and this holder's
// own takeover is done. releaseIfIdle doesn't wait for task leases: the next
// holder waits until these leases have ended in any case.
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
