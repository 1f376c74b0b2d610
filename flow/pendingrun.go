package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// pendingRun is a run that may turn out to have crashed its worker: it was started alone, or its
// worker has stopped answering soon after the start. It is recorded, so that the crash counts if
// the next holder finds the worker gone.
type pendingRun struct {
	// number is 0 for none.
	number   endive.RunNumber
	isolated bool
	worker   endive.WorkerID
	// workerStart is when the incarnation of the worker began, in milliseconds of Unix time.
	workerStart int64
	// leaseEnd is when all leases of the worker have surely expired; zero if it isn't known.
	leaseEnd time.Time
	// address and machine are the worker's; empty if they aren't known.
	address endive.Address
	machine endive.MachineID
}

// endedWith reports whether the incarnation of the worker that had the run is over. w is that
// worker; nil if it is gone.
func (p pendingRun) endedWith(w *worker) bool {
	return w == nil || w.seemsCrashed() || p.workerStart > 0 && w.info.StartTime.UnixMilli() > p.workerStart
}

// crashEvidence returns why the worker that had the run counts as crashed. w is that worker; nil if it
// is gone.
func (p pendingRun) crashEvidence(w *worker) Evidence {
	switch {
	case w == nil:
		return EvidenceUnlisted
	case p.workerStart > 0 && w.info.StartTime.UnixMilli() > p.workerStart:
		return EvidenceRestarted
	default:
		return w.crashEvidence()
	}
}

// removePending removes a run that is no longer pending.
func (c *crashes) removePending(n endive.RunNumber) {
	if c.pending.number == n {
		c.pending = pendingRun{}
	}
}

// setPending records that a run may turn out to have crashed its worker.
func (m *Machine) setPending(t *task, p pendingRun) {
	if t.crashes.pending.number == p.number {
		return
	}
	t.crashes.pending = p
	m.markDirty(t.step.occ.job, rowUrgent)
}

// pending returns the run for the case that it turns out to have crashed its worker.
func (r *run) pending() pendingRun {
	info := r.worker.info
	return pendingRun{
		number: r.number, isolated: r.isolated, worker: r.worker.id, workerStart: info.StartTime.UnixMilli(), leaseEnd: r.worker.leasesExpireAt(),
		address: info.Address, machine: info.Machine,
	}
}

// removePending records that a run isn't pending any more.
func (m *Machine) removePending(t *task, n endive.RunNumber) {
	if n == 0 || t.crashes.pending.number != n {
		return
	}
	t.crashes.removePending(n)
	if j := t.step.occ.job; !j.state.Ended() {
		m.markDirty(j, rowLazy)
	}
}

// setSuspectsPending makes the suspects on a worker that has stopped answering pending.
func (m *Machine) setSuspectsPending(w *worker) {
	for _, r := range w.suspects() {
		if r.task.run == r && r.task.state < taskSucceeded && !r.task.step.occ.job.state.Ended() {
			m.setPending(r.task, r.pending())
		}
	}
}

// hasPendingRun reports whether an earlier holder's run may have crashed the worker.
func (m *Machine) hasPendingRun(w *worker) bool {
	for _, t := range m.tasks {
		if t.crashes.pending.number > 0 && t.crashes.pending.worker == w.id {
			return true
		}
	}
	return false
}

// clearPending removes the pending runs of a worker that has been seen alive long enough, and those
// of its runs that were dropped while it was silent.
func (m *Machine) clearPending(w *worker) {
	for _, r := range w.runs {
		if r.task != nil && !r.mayHaveCrashed() && w.isolation.soleRun != r {
			m.removePending(r.task, r.number)
		}
	}
	m.forgetLoss(w)
	m.forgetLateCrashes(w)
}

// restoreCrashes applies the recorded crashes of a task.
func (t *task) restoreCrashes(progress TaskProgress) {
	t.crashes = crashes{
		runs: progress.Crashed, isolated: progress.CrashedIsolated, late: progress.CrashedLate, outlived: progress.CrashedEarlier, proven: progress.CrashedProven,
		recordedDeadline: progress.ProofDeadline,
		pending: pendingRun{
			number: progress.PendingRun, isolated: !progress.PendingShared, worker: progress.PendingWorker, workerStart: progress.PendingWorkerStart,
			leaseEnd: unixMillis(progress.PendingLeaseEnd), address: progress.PendingAddress, machine: progress.PendingMachine,
		},
	}
	for _, crash := range progress.CrashedUnproven {
		t.crashes.unproven = append(t.crashes.unproven, pendingRun{
			number: crash.Run, isolated: slices.Contains(progress.CrashedIsolated, crash.Run), worker: crash.Worker, workerStart: crash.WorkerStart,
			leaseEnd: unixMillis(crash.LeaseEnd), address: crash.Address, machine: crash.Machine,
		})
	}
	t.crashes.lateSuspected = t.crashes.total() >= minLateCrashes
	if t.crashes.total() > 0 {
		// The ages aren't recorded.
		t.crashes.maxAge = lateIsolation
	}
}

// settlePendingRun counts a crash under the pending run of an earlier holder, or of a silent worker, if
// the run's worker is gone or has restarted. It reports whether the task may start.
func (m *Machine) settlePendingRun(t *task) bool {
	p := t.crashes.pending
	if p.number == 0 || t.run != nil {
		return true
	}
	w := m.workers[p.worker]
	if w != nil && !w.answered() && !m.tenure.takeoverDone {
		return false
	}
	switch {
	case p.endedWith(w):
		late := len(t.crashes.runs) == 0 && t.crashes.lateSuspected
		m.recordLostRun(lostRun{task: t, run: p, late: late, age: lateIsolation, evidence: p.crashEvidence(w), overAt: m.overAt(w)})
	case !w.answered() || w.failedPolls > 0:
		// The worker is silent. The run stays pending until it answers or has surely crashed.
		return true
	}
	m.removePending(t, p.number)
	return true
}

// overAt returns before when an earlier incarnation of a worker was surely over. w is nil if the worker is gone.
func (m *Machine) overAt(w *worker) time.Time {
	if w == nil {
		return m.now
	}
	return endive.Earliest(m.now, w.info.StartTime)
}

// settlePendingRuns settles the pending runs of earlier holders, in the order of their tasks.
func (m *Machine) settlePendingRuns() {
	var pending []endive.TaskID
	for id, t := range m.tasks {
		if t.crashes.pending.number > 0 {
			pending = append(pending, id)
		}
	}
	slices.Sort(pending)
	for _, id := range pending {
		m.settlePendingRun(m.tasks[id])
	}
}
