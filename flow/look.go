package flow

import (
	"time"

	"endiveroute.example/endive"
)

// lookAtWorkers sends the looks that are due and gives up what has surely ended: at
// the workers that something happened to, and at all when something is due.
func (m *Machine) lookAtWorkers() {
	if !m.now.Before(m.sweepAt) {
		m.sweepAt = m.now.Add(idleLook)
		m.touched = append(m.touched[:0], m.ordered...)
	}
	gone := false
	for _, w := range m.touched {
		gone = m.lookAtWorker(w) || gone
		m.sweepAt = endive.Earliest(m.sweepAt, w.nextAt)
	}
	m.touched = m.touched[:0]
	if gone {
		m.sortWorkers()
	}
}

// touchWorker has a worker looked at after the current step.
func (m *Machine) touchWorker(w *worker) { m.touched = append(m.touched, w) }

// lookAtWorker does what is due at a worker, and reports whether it is gone.
func (m *Machine) lookAtWorker(w *worker) bool {
	if m.workers[w.id] != w {
		return false
	}
	over := w.surelyOver()
	if w.failures > 0 && len(w.runs) > 0 && !over.IsZero() && !m.now.Before(over) {
		m.loseRuns(w, "its leases have run out")
	}
	if !w.listed && m.tenure.settled && len(w.runs) == 0 {
		delete(m.workers, w.id)
		return true
	}
	m.look(w)
	m.retryOrders(w)
	if w.failures > 0 && len(w.runs) > 0 {
		w.nextAt = endive.Earliest(w.nextAt, over)
	}
	return false
}

// look sends a hold if one is due, and says when to come back otherwise.
func (m *Machine) look(w *worker) {
	w.nextAt = time.Time{}
	if w.hold.inFlight {
		return
	}
	due := w.hold.again
	if due.After(m.now) {
		w.nextAt = due
		return
	}
	wait := holdWait
	switch {
	case !w.adopted || w.failures > 0 || len(w.open) > 0 || len(w.runs) == 0:
		wait = 0
	case w.inDoubt():
		wait = doubtWait
	}
	order := endive.HoldOrder{Worker: w.ref(), Epoch: m.tenure.epoch, Recorded: w.acknowledged(m.now), Wait: wait}
	if w.extends() {
		order.LeaseEnd = m.leaseEnd(w)
	}
	w.hold.inFlight = true
	w.hold.sentStep = m.steps
	w.hold.sentAt, w.hold.atOnce = m.now, wait == 0
	m.emit(PollWorker{Order: order})
}

// doubtWait is how long a look waits while something there is uncertain.
const doubtWait = endive.Interval(80 * time.Millisecond)

// inDoubt reports whether the next look can settle something.
func (w *worker) inDoubt() bool {
	for _, r := range w.runs {
		if r.state == runStopping || r.uncertain {
			return true
		}
	}
	return false
}

// extends reports whether leases there are to be renewed. Those of a worker that
// doesn't answer are left to run out, so that its tasks can go elsewhere.
func (w *worker) extends() bool {
	return w.adopted && w.failures == 0 && len(w.runs) > 0
}

// leaseEnd returns the end of a lease that begins now, on the worker's clock, and
// notes that it was granted.
func (m *Machine) leaseEnd(w *worker) endive.WorkerTime {
	end := w.clock.guess(m.now) + endive.WorkerTime(time.Duration(m.settings.LeaseDuration).Milliseconds())
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// ackFresh is how old a worker's last answer may be for its ends to be acknowledged.
const ackFresh = 2 * time.Second

// acknowledged returns the newest end that the worker may forget. A worker that hasn't
// answered may have started anew since, and number its ends from the beginning: none of
// them is acknowledged before it has been seen.
func (w *worker) acknowledged(now time.Time) endive.EndNumber {
	if !w.adopted || w.failures > 0 || now.Sub(w.clock.received) > ackFresh {
		return 0
	}
	return w.recorded()
}

// recorded returns the newest end that, with all before it, needn't be told again.
func (w *worker) recorded() endive.EndNumber {
	recorded := w.newestEnd
	for n := range w.open {
		recorded = min(recorded, n-1)
	}
	return recorded
}
