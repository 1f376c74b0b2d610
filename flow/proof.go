package flow

import (
	"cmp"
	"slices"
	"time"

	"endiveroute.example/endive"
)

// A worker that was cut off runs on, and answers again later; one that has crashed is seen in a later
// incarnation, or its machine or its address is used by another worker. Until one of these is seen, a crash is
// unproven. Unproven crashes make a task start alone, and after maxAllCrashes of them it waits for proof, but
// only proven ones make its workflow fail.

// proofTimeout is how long a task with too many crashes waits for proof of the last one. A crashed worker
// is back after some seconds, unless it is lost for good; then the task may start once more.
const proofTimeout = 30 * time.Second

// returnTimeout is how long after the end of its leases a worker may come back that has crashed under a task.
const returnTimeout = 10 * time.Second

// unprovenCrashes are the lost runs that count against their tasks as crashes without proof, by worker. They
// are also in the rows of their workflows.
type unprovenCrashes map[endive.WorkerID][]lostRun

// recordProof notes that the worker of a counted run has surely crashed.
func (m *Machine) recordProof(l lostRun) {
	t := l.task
	j := t.step.occ.job
	if t.state >= taskSucceeded || j.state.Ended() {
		return
	}
	c := &t.crashes
	c.removeUnproven(l.run.number)
	if !slices.Contains(c.proven, l.run.number) {
		c.proven = append(c.proven, l.run.number)
		m.markDirty(j, rowUrgent)
	}
	if l.mayHaveOutlivedLeases() {
		c.clear(l.run.number)
	}
}

// mayHaveOutlivedLeases reports whether the worker of the run may have been cut off until the leases had expired, and
// may have crashed only then, without the run. Both times are by clocks that follow the time of day.
func (l lostRun) mayHaveOutlivedLeases() bool {
	return !l.run.leaseEnd.IsZero() && l.overAt.After(l.run.leaseEnd)
}

// judge gives the task of a lost run up if proven crashes show that it is their cause, or are too many.
func (m *Machine) judge(l lostRun) {
	t := l.task
	j := t.step.occ.job
	if t.state >= taskSucceeded || j.state.Ended() {
		return
	}
	c := &t.crashes
	othersCrash := !m.unexplainedCrashAt.IsZero() && m.now.Sub(m.unexplainedCrashAt) < unexplainedMemory
	if c.convincing(othersCrash) || m.provenLate(l) || c.tooMany() {
		m.failForCrashes(t)
	}
}

// addUnproven keeps a counted run of which it isn't certain that its worker has crashed.
func (m *Machine) addUnproven(l lostRun) {
	c := &l.task.crashes
	c.removeUnproven(l.run.number)
	c.unproven = append(c.unproven, l.run)
	c.proofDeadline = m.now.Add(proofTimeout)
	c.recordedDeadline = m.clock.AtLeast(c.proofDeadline)
	m.unproven[l.run.worker] = append(m.unproven[l.run.worker], l)
	if w := m.successor(l.run); w != nil {
		m.proveCrashes(EvidenceReplaced, m.overAt(w), func(run pendingRun) bool { return run.worker == l.run.worker && run.workerStart == l.run.workerStart })
	}
}

// any reports whether one of the crashes of a worker matches. Most workers succeed none, so that this is the usual
// cost of a change in the list of workers.
func (u unprovenCrashes) any(id endive.WorkerID, matches func(run pendingRun) bool) bool {
	for i := range u[id] {
		if matches(u[id][i].run) {
			return true
		}
	}
	return false
}

// keep removes the crashes of a worker except those that kept reports, and returns the removed ones.
func (u unprovenCrashes) keep(id endive.WorkerID, kept func(lostRun) bool) []lostRun {
	var remaining, removed []lostRun
	for _, l := range u[id] {
		if kept(l) {
			remaining = append(remaining, l)
		} else {
			removed = append(removed, l)
		}
	}
	u[id] = remaining
	if len(remaining) == 0 {
		delete(u, id)
	}
	return removed
}

// dropUnproven drops the unproven crashes of a task of an ended workflow.
func (m *Machine) dropUnproven(t *task) {
	for _, run := range t.crashes.unproven {
		m.unproven.keep(run.worker, func(l lostRun) bool { return l.task != t })
	}
}

// restoreUnproven adds the unproven crashes that earlier holders have recorded of a step's tasks.
func (m *Machine) restoreUnproven(s *step) {
	for _, t := range s.tasks {
		c := &t.crashes
		if len(c.proven) < c.all() {
			c.proofDeadline = m.now.Add(proofTimeout)
			if c.recordedDeadline > 0 {
				c.proofDeadline = endive.Earliest(c.proofDeadline, m.clock.Earliest(c.recordedDeadline))
			}
		}
		for _, run := range c.unproven {
			lost := lostRun{task: t, run: run, late: !slices.Contains(c.runs, run.number), age: lateIsolation}
			m.unproven[run.worker] = append(m.unproven[run.worker], lost)
		}
	}
}

// proveRestored looks for proof of the unproven crashes of earlier holders among the listed workers.
func (m *Machine) proveRestored() {
	if len(m.unproven) == 0 {
		return
	}
	for _, w := range m.sortedWorkers {
		if w.listed {
			m.proveBySuccessor(w)
		}
	}
}

// successor returns a listed worker that shows that the worker of a run has surely crashed; nil if there is none.
func (m *Machine) successor(run pendingRun) *worker {
	i := slices.IndexFunc(m.sortedWorkers, func(w *worker) bool { return w.listed && w.succeeds(run) })
	if i < 0 {
		return nil
	}
	return m.sortedWorkers[i]
}

// succeeds reports whether the worker is a later incarnation than that of a run, or uses its machine or its
// address after it.
func (w *worker) succeeds(run pendingRun) bool {
	if run.workerStart <= 0 || w.info.StartTime.UnixMilli() <= run.workerStart {
		return false
	}
	return w.id == run.worker || run.machine != "" && w.info.Machine == run.machine || run.address != "" && w.info.Address == run.address
}

// proveBySuccessor proves the crashes of the workers that a worker has succeeded.
func (m *Machine) proveBySuccessor(w *worker) {
	m.proveCrashes(EvidenceReplaced, m.overAt(w), w.succeeds)
}

// proveCrashes records proof that the workers of the runs that match were over at overAt, and judges their tasks.
func (m *Machine) proveCrashes(evidence Evidence, overAt time.Time, matches func(run pendingRun) bool) {
	var proven []lostRun
	for id := range m.unproven {
		if m.unproven.any(id, matches) {
			for _, l := range m.unproven.keep(id, func(l lostRun) bool { return !matches(l.run) }) {
				l.overAt = overAt
				proven = append(proven, l)
			}
		}
	}
	slices.SortFunc(proven, func(a, b lostRun) int {
		return cmp.Or(cmp.Compare(a.task.id, b.task.id), cmp.Compare(a.run.number, b.run.number))
	})
	for _, l := range proven {
		m.logDecision(Decision{Kind: DecisionEnd, Task: l.task.id, Run: l.run.number, Worker: l.run.worker, Outcome: OutcomeCrashProven, Reason: evidence.String(),
			Evidence: evidence, Crashes: l.task.crashes.countWith(l.run.number)})
		m.recordProof(l)
	}
	for _, l := range proven {
		m.judgeProven(l)
	}
}

// judgeProven judges the task of a run whose crash is now proven. A task that runs again is judged only once that
// run is lost as well: it may outlive the time after which its workers had crashed. After a takeover it may run on a
// worker that hasn't answered yet.
func (m *Machine) judgeProven(l lostRun) {
	switch t := l.task; {
	case t.run != nil:
	case m.mayBeHidden(t):
		t.crashes.unjudged = append(t.crashes.unjudged, l)
	default:
		m.judge(l)
	}
}

// judgeBeforeStart judges a task that turned out not to run on a worker that an earlier holder had.
func (m *Machine) judgeBeforeStart(t *task) {
	unjudged := t.crashes.unjudged
	t.crashes.unjudged = nil
	for _, l := range unjudged {
		m.judge(l)
	}
}

// forgetUnproven takes back the unproven crashes of an incarnation of a worker, which has answered again.
func (m *Machine) forgetUnproven(w *worker) {
	if len(m.unproven[w.id]) == 0 || !w.incarnationKnown() {
		return
	}
	start := w.info.StartTime.UnixMilli()
	for _, l := range m.unproven.keep(w.id, func(l lostRun) bool { return l.run.workerStart != start }) {
		m.forgetCrash(w, l)
	}
}

// forgetCrash takes back that a run was counted as a crash of its worker.
func (m *Machine) forgetCrash(w *worker, l lostRun) {
	t := l.task
	if t.step.occ.job.state.Ended() || !t.crashes.remove(l.run.number) {
		return
	}
	m.markDirty(t.step.occ.job, rowUrgent)
	m.passDue = true
	m.logDecision(Decision{Kind: DecisionEnd, Task: t.id, Run: l.run.number, Worker: w.id, Outcome: OutcomeNotCrashed, Reason: "the worker of the run answers again, " +
		formatInt(int64(t.crashes.total())) + " crashes remain", Evidence: EvidenceAnswered, Crashes: t.crashes.count()})
}

// proofUntil returns until when a task with too many crashes waits for proof of them. A long-running task must not stay away
// for so long: it waits only while the workers may still come back without whose crashes there would not be too many.
func (t *task) proofUntil() time.Time {
	c := &t.crashes
	excess := c.all() - maxAllCrashes
	if !t.step.spec.LongRunning || len(c.proven) >= minProvenCrashes || excess >= len(c.unproven) {
		return c.proofDeadline
	}
	returns := make([]time.Time, 0, len(c.unproven))
	for _, run := range c.unproven {
		returns = append(returns, endive.Earliest(c.proofDeadline, run.returnsBy()))
	}
	slices.SortFunc(returns, time.Time.Compare)
	return endive.Earliest(c.proofDeadline, returns[excess])
}

// returnsBy returns by when the worker of the run is back if it has crashed under it, and isn't cut off or lost for good; zero
// if that isn't known.
func (p pendingRun) returnsBy() time.Time {
	if p.leaseEnd.IsZero() {
		return time.Time{}
	}
	return p.leaseEnd.Add(returnTimeout)
}

// awaitsProof reports whether a task with too many crashes waits until it is known whether its workers have
// crashed. At the deadline it is given up if enough crashes are proven; otherwise it may start once more.
func (m *Machine) awaitsProof(t *task) bool {
	c := &t.crashes
	if c.all() < maxAllCrashes {
		return false
	}
	if until := t.proofUntil(); m.now.Before(until) {
		m.schedulePass(until)
		return true
	}
	j := t.step.occ.job
	if len(c.proven) < minProvenCrashes || j.state.Ended() {
		return false
	}
	m.failForCrashes(t)
	return true
}
