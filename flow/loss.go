package flow

import "endiveroute.example/endive"

// lostRun is a suspect of a worker that doesn't answer any more and whose runs were dropped.
type lostRun struct {
	task     *task
	number   endive.RunNumber
	isolated bool
	address  endive.Address
}

// surelyCrashed reports whether the incarnation of the worker is over, rather than only silent: its
// address refuses connections, another incarnation answers there, or the platform doesn't list it.
// Silence alone proves no crash: the network, or this holder, may be slow.
func (w *worker) surelyCrashed() bool { return w.refusing || w.addressReused || !w.listed }

// recordLoss keeps the suspects of a worker whose runs were dropped, until it is known whether the
// worker has crashed. They are recorded meanwhile.
func (m *Machine) recordLoss(w *worker, suspects []*run) {
	m.recordUnexplained(w, suspects)
	for _, r := range suspects {
		w.lostSuspects = append(w.lostSuspects, lostRun{task: r.task, number: r.number, isolated: r.isolated, address: w.info.Address})
	}
	if w.surelyCrashed() {
		m.countLostSuspects(w)
		return
	}
	for _, r := range suspects {
		if r.task.run == nil && r.task.state < taskSucceeded && !r.task.step.occ.job.state.Ended() {
			m.setPending(r)
		}
	}
}

// settleLoss counts the suspects of a silent worker once it has surely crashed.
func (m *Machine) settleLoss(w *worker) {
	if w.surelyCrashed() {
		m.countLostSuspects(w)
	}
}

// countLostSuspects counts the crash of a worker against the tasks of its suspects.
func (m *Machine) countLostSuspects(w *worker) {
	lost := w.lostSuspects
	w.lostSuspects = nil
	for _, l := range lost {
		m.recordTaskCrash(l.task, l.number, l.isolated)
		l.task.crashes.address = l.address
	}
}

// forgetLoss forgets the suspects of a worker that was only silent.
func (m *Machine) forgetLoss(w *worker) {
	for _, l := range w.lostSuspects {
		m.removePending(l.task, l.number)
	}
	w.lostSuspects, w.refusing = nil, false
}

// recordRestart counts the crash of the incarnation that is over: a later one has been seen.
func (m *Machine) recordRestart(w *worker) {
	m.countLostSuspects(w)
	w.markSuspects()
	if w.adopted && !w.hasSuspects() {
		m.recordUnexplained(w, nil)
	}
	w.lossRecorded, w.refusing = false, false
}

// recordPollFailure notes whether a poll that failed shows a crash of the worker.
func (m *Machine) recordPollFailure(w *worker, result OrderResult) {
	if result == OrderRefused {
		w.refusing = true
	}
	m.settleLoss(w)
	m.setSuspectsPending(w)
}
