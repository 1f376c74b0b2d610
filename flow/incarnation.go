package flow

import (
	"time"

	"endiveroute.example/endive"
)

// beginIncarnation resets a worker that has restarted. The new incarnation has none of the
// earlier runs, but it may still carry out calls to the earlier ones until it has received one with a
// higher epoch. So a run is removed only when the new incarnation doesn't report it after that.
func (m *Machine) beginIncarnation(w *worker, startTime time.Time) {
	m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "started anew", Reason: formatInt(int64(len(w.runs))) + " runs of the previous incarnation, " +
		formatInt(int64(w.openCalls())) + " calls to it without an answer yet"})
	formerLeaseEnd := endive.Latest(w.leasesExpireAt(), m.now.Add(m.longestLease()))
	w.oldLeasesExpireAt = endive.Latest(formerLeaseEnd, endive.Latest(m.now, m.lateCallsUntil(w)).Add(m.longestLease()))
	m.recordRestart(w, startTime)
	w.release()
	for _, r := range w.runs {
		if r.isKnownPlace() && !r.startInFlight() {
			r.formerLeaseEnd = formerLeaseEnd
		}
		r.reported = false
	}
	w.isolation.soleRun = nil
	// What the previous incarnation said of itself doesn't hold for this one, which may be of another kind.
	// Nothing starts there until the platform's list shows its own registration.
	w.info = endive.FleetWorker{ID: w.info.ID, Pool: w.info.Pool, Address: w.info.Address, StartTime: startTime, Unconfirmed: true}
	w.incarnations, w.fenced = m.countIncarnation(w.id), false
	w.knowledge, w.addressReused = knowsNothing, false
	w.recordedTasks = nil
	m.forgetDraining(w)
	w.lastEnd, w.firstListedEnd = 0, 0
	w.leaseEnd, w.clock, w.lastReport = 0, clockReading{}, 0
	w.answeredAt, w.answersLate = time.Time{}, false
	w.unrecordedEnds, w.unreadEnds = make(map[endive.EndNumber]bool), nil
	// A poll with the next epoch is sent at once, beside one to the earlier incarnation that has no answer yet.
	w.poll.inFlight, w.poll.nextAt = false, m.now
	m.markChanged(w)
}

// incarnationKnown reports whether the platform's list or an answer has shown which incarnation of
// the worker it is. A worker of the roster need not be listed.
func (w *worker) incarnationKnown() bool { return !w.info.StartTime.IsZero() }

// openCalls returns the number of calls to the worker that have no answer yet. Its next incarnation may carry them out.
func (w *worker) openCalls() int {
	calls := len(w.poll.open)
	for _, r := range w.runs {
		if r.inFlight {
			calls++
		}
	}
	return calls
}

// answeredByKnown reports whether the answer to the last order of the run is surely from the worker's known incarnation.
// Its clock shows what the last reading lets expect. The clock of a later one began anew, at zero or at another number,
// after the call to which the known one answered with that reading.
func (r *run) answeredByKnown(clock endive.WorkerTime, now time.Time) bool {
	last := r.sentClock
	laterUptime := endive.WorkerTime(now.Sub(last.requestedAt).Milliseconds())
	return r.sentTo == r.worker.incarnations && clock > laterUptime && last.mayShow(clock, r.sentAt, now)
}

// logLaterIncarnation logs that the answer to an order to start shows a clock that isn't that of the known incarnation:
// the worker has restarted. The order has a lease by the clock of the earlier incarnation.
func (m *Machine) logLaterIncarnation(r *run, clock endive.WorkerTime) {
	if clock > 0 && r.sentTo == r.worker.incarnations && !r.sentClock.mayShow(clock, r.sentAt, m.now) {
		m.logDecision(Decision{Kind: DecisionStart, Task: r.id, Run: r.number, Worker: r.worker.id, Outcome: OutcomeLaterIncarnation,
			Reason: "the worker's clock shows " + formatInt(int64(clock)) + ", " + m.now.Sub(r.sentClock.receivedAt).Round(time.Millisecond).String() + " after it showed " +
				formatInt(int64(r.sentClock.workerTime)) + "; the lease is by that clock"})
	}
}
