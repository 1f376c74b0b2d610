package flow

import (
	"time"

	"endiveroute.example/endive"
)

// pollWorkers sends the polls that are due and removes the runs whose leases have surely
// expired. It processes the changed workers, or all workers once workersDueAt is reached.
func (m *Machine) pollWorkers() {
	if !m.now.Before(m.workersDueAt) {
		m.workersDueAt = m.now.Add(minIdlePollInterval)
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

// pollNow makes the next poll of a worker due. An idle worker is polled after it has answered the
// first order to start and not beside it, since two calls at a time take two connections.
func (m *Machine) pollNow(w *worker) {
	if w.poll.nextAt.After(m.now) {
		w.poll.nextAt = m.now
	}
	m.markChanged(w)
}

// markChanged adds a worker to those that pollWorkers processes in the current step.
func (m *Machine) markChanged(w *worker) { m.changedWorkers = append(m.changedWorkers, w) }

// processWorker carries out the due work of a worker, and reports whether it removed the worker.
func (m *Machine) processWorker(w *worker) bool {
	if m.workers[w.id] != w {
		return false
	}
	if w.failedPolls > 0 {
		m.dropExpiredRuns(w)
	}
	if !w.listed && m.tenure.takeoverDone && len(w.runs) == 0 && !w.hasOpenEnds() {
		delete(m.workers, w.id)
		return true
	}
	m.sendPoll(w)
	m.retryStops(w)
	if w.failedPolls > 0 {
		w.dueAt = endive.Earliest(w.dueAt, m.nextExpiry(w))
	}
	if w.mayStillReport(m.now) {
		w.dueAt = endive.Earliest(w.dueAt, w.reportsUntil())
	}
	return false
}

// sendPoll sends a poll if one is due; otherwise it sets dueAt to the time of the next one.
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
	if m.hasTooManyCalls(w) || w.needsProbe() && !m.admitProbe(w) {
		return
	}
	maxWait := pollWait
	switch {
	case !w.endsKnown() || w.awaitsFence() || w.failedPolls > 0 || w.hasOpenEnds() || len(w.runs) == 0:
		maxWait = 0
	case w.hasUnconfirmedRuns():
		maxWait = unconfirmedPollWait
	case w.hasSuspects():
		maxWait = suspectPollWait(m.now, w.suspectsUntil())
	}
	order := endive.PollOrder{Worker: w.ref(), Epoch: m.epochFor(w), Recorded: w.acknowledgedEnd(m.now), Wait: maxWait}
	if w.renewsLeases(m.now) && m.mayRenew() {
		order.LeaseEnd = m.newLeaseEnd(w)
	}
	w.poll.inFlight = true
	w.poll.id = PollID(m.stepCount)
	w.poll.open[w.poll.id] = openPoll{sentAt: m.now, sentTo: w.incarnations, sentEpochs: w.epochsUsed(), renews: order.LeaseEnd > 0}
	m.probes.calls[pollCall{w.id, w.poll.id}] = true
	w.poll.sentAt, w.poll.immediate, w.poll.recorded = m.now, maxWait == 0, order.Recorded
	m.emit(PollWorker{Order: order, Poll: w.poll.id})
}

// unconfirmedPollWait is how long a worker may hold back its answer to a poll to wait for the
// end of a run, while the worker has unconfirmed runs.
const unconfirmedPollWait = endive.Interval(80 * time.Millisecond)

// hasUnconfirmedRuns reports whether a run on the worker is being stopped or has an
// unconfirmed start, which the next poll can resolve.
func (w *worker) hasUnconfirmedRuns() bool {
	for _, r := range w.runs {
		if (r.state == runStopping || r.startUnconfirmed) && !r.isOnFormer() {
			return true
		}
	}
	return false
}

// renewsLeases reports whether polls renew the worker's leases. If the worker doesn't answer,
// its leases are left to expire, so that its tasks can start on other workers, unless a late answer
// or the platform shows that the worker is alive.
func (w *worker) renewsLeases(now time.Time) bool {
	return w.answered() && len(w.runs) > 0 && (w.failedPolls == 0 || now.Before(w.renewedUntil()))
}

// newLeaseEnd returns the end, on the worker's clock, of a lease that begins now, and records
// it in leaseEnd.
func (m *Machine) newLeaseEnd(w *worker) endive.WorkerTime {
	end := w.clock.estimate(m.now) + endive.WorkerTime(time.Duration(m.settings.LeaseDuration).Milliseconds())
	w.leaseEnd, w.lastLeaseAt = max(w.leaseEnd, end), m.now
	return end
}

// maxAckAge is how old a worker's last answer may be for the holder to acknowledge the ends
// of runs that the worker has reported.
const maxAckAge = 2 * time.Second

// acknowledgedEnd returns the number of the newest reported end of a run that the worker may
// delete; 0 for none. A worker that hasn't answered lately may have restarted and numbered its
// ends from 1 again. Acknowledging an old number would make the worker delete ends that the
// holder hasn't received. A late answer may be as old as its poll. A number is sent only while the worker
// lists an end up to it: the poll may be carried out late, by an incarnation that the holder hasn't seen.
func (w *worker) acknowledgedEnd(now time.Time) endive.EndNumber {
	if !w.listsRecordedEnd() {
		return 0
	}
	if !w.answered() || w.failedPolls > 0 && !w.answersLate || now.Sub(w.seenAliveAt()) > maxAckAge {
		return 0
	}
	return w.recordedEnd()
}

// listsRecordedEnd reports whether the worker lists an end up to which all are recorded.
func (w *worker) listsRecordedEnd() bool {
	return w.firstListedEnd > 0 && w.firstListedEnd <= w.recordedEnd()
}

// hasNewAcknowledgement reports whether the worker lists ends that the next poll acknowledges, and the last poll didn't. It is
// sent at once: later it might reach an incarnation that the holder hasn't seen.
func (w *worker) hasNewAcknowledgement() bool {
	return w.listsRecordedEnd() && w.poll.recorded < w.firstListedEnd
}

// recordedEnd returns the number of the newest reported end of a run up to which all ends on
// the worker are recorded.
func (w *worker) recordedEnd() endive.EndNumber {
	recorded := w.lastEnd
	for n := range w.unrecordedEnds {
		recorded = min(recorded, n-1)
	}
	for _, unread := range w.unreadEnds {
		recorded = min(recorded, unread.end.Number-1)
	}
	return recorded
}

// hasOpenEnds reports whether the worker has reported ends that can't be acknowledged yet.
func (w *worker) hasOpenEnds() bool { return len(w.unrecordedEnds) > 0 || len(w.unreadEnds) > 0 }
