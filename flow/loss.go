package flow

import (
	"time"

	"endiveroute.example/endive"
)

// lostRun is a run that was on a worker when the worker crashed or fell silent.
type lostRun struct {
	task *task
	run  pendingRun
	// late is true if the worker was seen alive long enough after the start. age is how old the run
	// was.
	late bool
	age  time.Duration
	// evidence is why the worker counts as crashed; empty before it does.
	evidence Evidence
	// overAt is before when the worker's incarnation was surely over; zero if that isn't known.
	overAt time.Time
}

// crashEvidence returns why the worker counts as crashed.
func (w *worker) crashEvidence() Evidence {
	switch {
	case w.addressReused:
		return EvidenceReplaced
	case w.refusing:
		return EvidenceRefused
	default:
		return EvidenceUnlisted
	}
}

// lostRuns returns those of the given runs of the worker that may be the cause if its incarnation is over. A run
// that has just started alone is the only one.
func (m *Machine) lostRuns(w *worker, runs []*run) []lostRun {
	sole := w.isolation.soleRun
	onlySole := sole != nil && sole.isolated && sole.mayHaveCrashed()
	aliveUntil := m.now
	if !w.seenAliveAt().IsZero() {
		// The worker answers a poll after pollWait at the latest.
		aliveUntil = endive.Earliest(m.now, w.seenAliveAt().Add(time.Duration(pollWait)))
	}
	var lost []lostRun
	for _, r := range runs {
		switch {
		case r.task == nil:
		case r.loss != nil:
			lost = append(lost, *r.loss)
		case r.mayHaveCrashed():
			lost = append(lost, lostRun{task: r.task, run: r.pending(), age: aliveUntil.Sub(r.startedAt)})
		case !onlySole && !w.info.Draining:
			run := r.pending()
			run.isolated = r.startedAloneWith(sole)
			lost = append(lost, lostRun{task: r.task, run: run, late: true, age: aliveUntil.Sub(r.startedAt)})
		}
	}
	return lost
}

// seemsCrashed reports whether the incarnation of the worker is probably over: its address refuses
// connections, another incarnation answers there, or the platform doesn't list it. A worker that is only
// silent doesn't seem to have crashed: the network, or this holder, may be slow.
func (w *worker) seemsCrashed() bool { return w.refusing || w.addressReused || !w.listed }

// recordLoss keeps the lost runs of a worker whose runs were dropped, until it is known whether the
// worker has crashed. Those that may well be the cause are recorded meanwhile.
func (m *Machine) recordLoss(w *worker, lost []lostRun) {
	m.recordUnexplained(w, lost)
	w.lost = append(w.lost, lost...)
	if w.seemsCrashed() {
		m.countLoss(w, w.crashEvidence(), m.now)
		return
	}
	for _, l := range lost {
		if (!l.late || l.run.isolated) && l.task.run == nil && l.task.state < taskSucceeded && !l.task.step.occ.job.state.Ended() {
			m.setPending(l.task, l.run)
		}
	}
}

// settleLoss counts the lost runs of a silent worker once it has surely crashed.
func (m *Machine) settleLoss(w *worker) {
	if len(w.lost) > 0 && w.seemsCrashed() {
		m.countLoss(w, w.crashEvidence(), m.now)
	}
}

// countLoss counts the crash of a worker, which was over at overAt, against the tasks of its lost runs.
func (m *Machine) countLoss(w *worker, evidence Evidence, overAt time.Time) {
	lost := w.lost
	w.lost = nil
	m.logCrash(w, lost)
	for _, l := range lost {
		l.evidence, l.overAt = evidence, overAt
		m.recordLostRun(l)
	}
}

// recordLostRun counts the crash of a lost run's worker against the run's task.
func (m *Machine) recordLostRun(l lostRun) {
	m.crashLog.deleteOld(m.now)
	t := l.task
	t.crashes.maxAge = max(t.crashes.maxAge, l.age)
	var counts bool
	if l.late {
		counts = m.recordLateCrash(l)
	} else {
		counts = m.recordTaskCrash(l)
	}
	if l.run.address != "" {
		t.crashes.address = l.run.address
	}
	switch {
	case !counts:
	case l.evidence.Proof():
		m.recordProof(l)
	default:
		m.addUnproven(l)
	}
	if counts {
		m.judge(l)
	}
}

// logCrash adds the crash of an incarnation of a worker to the log of crashes once, unless a run that
// had started alone explains it or the worker was leaving.
func (m *Machine) logCrash(w *worker, lost []lostRun) {
	if w.crashLogged {
		return
	}
	w.crashLogged = true
	crash := workerCrash{at: m.now, address: w.info.Address}
	for _, l := range lost {
		if l.run.isolated {
			return
		}
		crash.tasks = append(crash.tasks, l.task.id)
	}
	if !w.info.Draining && !m.hasPendingRun(w) {
		m.crashLog.add(crash)
	}
}

// forgetLoss forgets the lost runs of a worker that was only silent.
func (m *Machine) forgetLoss(w *worker) {
	for _, l := range w.lost {
		m.removePending(l.task, l.run.number)
	}
	w.lost, w.refusing, w.crashLogged = nil, false, false
	m.forgetUnproven(w)
}

// recordRestart notes that the incarnation of the worker is over, since a later one has been seen, which began
// at start. Its runs count once the later one has shown that it doesn't have them.
func (m *Machine) recordRestart(w *worker, start time.Time) {
	overAt := endive.Earliest(m.now, start)
	if w.incarnationKnown() {
		m.proveCrashes(EvidenceRestarted, overAt, func(run pendingRun) bool {
			return run.worker == w.id && run.workerStart > 0 && run.workerStart < start.UnixMilli()
		})
	}
	if len(w.lost) > 0 {
		m.countLoss(w, EvidenceRestarted, overAt)
	}
	lost := m.lostRuns(w, w.sortedRuns())
	if w.answered() {
		m.logCrash(w, lost)
	}
	w.markLost(lost, overAt)
	if w.answered() && !w.hasSuspects() {
		m.recordUnexplained(w, nil)
	}
	w.lossRecorded, w.refusing, w.crashLogged = false, false, false
}

// markLost marks the runs of the worker that were lost with the incarnation that was over at overAt.
func (w *worker) markLost(lost []lostRun, overAt time.Time) {
	for _, r := range w.runs {
		r.harmless = !r.mayHaveCrashed()
	}
	for _, l := range lost {
		l.evidence, l.overAt = EvidenceRestarted, overAt
		w.runs[l.task.id].loss = &l
	}
}

// recordPollFailure notes whether a poll that failed shows a crash of the worker.
func (m *Machine) recordPollFailure(w *worker, result OrderResult) {
	if result == OrderRefused {
		w.refusing = true
	}
	m.settleLoss(w)
	m.setSuspectsPending(w)
}

// recordAbsence counts a crash under a run that the worker's next incarnation doesn't have.
func (m *Machine) recordAbsence(r *run) {
	if r.loss != nil && r.task != nil {
		m.recordLostRun(*r.loss)
	}
}
