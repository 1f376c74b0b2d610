package flow

import (
	"time"

	"endiveroute.example/endive"
)

// pollWorkers sends the looks that are due and gives up what has surely ended: at
// the workers that something happened to, and at all when something is due.
func (m *Machine) pollWorkers() {
	if !m.now.Before(m.workersDueAt) {
		m.workersDueAt = m.now.Add(idlePollInterval)
		m.changedWorkers = append(m.changedWorkers[:0], m.sortedWorkers...)
	}
	removed := false
	for _, w := range m.changedWorkers {
		removed = m.processWorker(w) || removed
		m.workersDueAt = endive.Earliest(m.workersDueAt, w.dueAt)
	}
	m.changedWorkers = m.changedWorkers[:0]
	if removed {
		m.sortWorkers()
	}
}

// markChanged has a worker looked at after the current step.
func (m *Machine) markChanged(w *worker) { m.changedWorkers = append(m.changedWorkers, w) }

// processWorker does what is due at a worker, and reports whether it is gone.
func (m *Machine) processWorker(w *worker) bool {
	if m.workers[w.id] != w {
		return false
	}
	leasesEnd := w.leasesExpireAt()
	if w.failedPolls > 0 && len(w.runs) > 0 && !leasesEnd.IsZero() && !m.now.Before(leasesEnd) {
		m.dropRuns(w, "its leases have run out")
	}
	if !w.listed && m.tenure.takeoverDone && len(w.runs) == 0 {
		delete(m.workers, w.id)
		return true
	}
	m.sendPoll(w)
	m.retryStops(w)
	if w.failedPolls > 0 && len(w.runs) > 0 {
		w.dueAt = endive.Earliest(w.dueAt, leasesEnd)
	}
	return false
}

// sendPoll sends a hold if one is due, and says when to come back otherwise.
func (m *Machine) sendPoll(w *worker) {
	w.dueAt = time.Time{}
	if w.poll.inFlight {
		return
	}
	due := w.poll.nextAt
	if due.After(m.now) {
		w.dueAt = due
		return
	}
	maxWait := pollWait
	switch {
	case !w.adopted || w.failedPolls > 0 || len(w.unrecordedEnds) > 0 || len(w.runs) == 0:
		maxWait = 0
	case w.hasUnconfirmedRuns():
		maxWait = unconfirmedPollWait
	}
	order := endive.PollOrder{Worker: w.ref(), Epoch: m.tenure.epoch, Recorded: w.acknowledgedEnd(m.now), Wait: maxWait}
	if w.renewsLeases() {
		order.LeaseEnd = m.newLeaseEnd(w)
	}
	w.poll.inFlight = true
	w.poll.sentStep = m.stepCount
	w.poll.sentAt, w.poll.immediate = m.now, maxWait == 0
	m.emit(PollWorker{Order: order})
}

// unconfirmedPollWait is how long a look waits while something there is uncertain.
const unconfirmedPollWait = endive.Interval(80 * time.Millisecond)

// hasUnconfirmedRuns reports whether the next look can settle something.
func (w *worker) hasUnconfirmedRuns() bool {
	for _, r := range w.runs {
		if r.state == runStopping || r.startUnconfirmed {
			return true
		}
	}
	return false
}

// renewsLeases reports whether leases there are to be renewed. Those of a worker that
// doesn't answer are left to run out, so that its tasks can go elsewhere.
func (w *worker) renewsLeases() bool {
	return w.adopted && w.failedPolls == 0 && len(w.runs) > 0
}

// newLeaseEnd returns the end of a lease that begins now, on the worker's clock, and
// notes that it was granted.
func (m *Machine) newLeaseEnd(w *worker) endive.WorkerTime {
	end := w.clock.estimate(m.now) + endive.WorkerTime(time.Duration(m.settings.LeaseDuration).Milliseconds())
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// maxAckAge is how old a worker's last answer may be for its ends to be acknowledged.
const maxAckAge = 2 * time.Second

// acknowledgedEnd returns the newest end that the worker may forget. A worker that hasn't
// answered may have started anew since, and number its ends from the beginning: none of
// them is acknowledged before it has been seen.
func (w *worker) acknowledgedEnd(now time.Time) endive.EndNumber {
	if !w.adopted || w.failedPolls > 0 || now.Sub(w.clock.receivedAt) > maxAckAge {
		return 0
	}
	return w.recordedEnd()
}

// recordedEnd returns the newest end that, with all before it, needn't be told again.
func (w *worker) recordedEnd() endive.EndNumber {
	recorded := w.lastEnd
	for n := range w.unrecordedEnds {
		recorded = min(recorded, n-1)
	}
	return recorded
}
