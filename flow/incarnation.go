package flow

import (
	"time"

	"endiveroute.example/endive"
)

// beginIncarnation resets a worker that has restarted. The new incarnation has none of the
// earlier runs, but it may still carry out an order that is in flight. So a run is removed only
// when the new incarnation doesn't report it.
func (m *Machine) beginIncarnation(w *worker, startTime time.Time) {
	m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "started anew", Reason: formatInt(int64(len(w.runs))) + " runs of the previous incarnation, " +
		formatInt(int64(w.openCalls())) + " calls to it without an answer yet"})
	// Such an order has a lease by the clock of the previous incarnation, which the new one shortens to
	// MaxLeaseDuration when it carries the order out.
	longestLease := longestDuration(time.Duration(m.settings.MaxLeaseDuration)) + clockErrorMargin + leaseMargin
	w.oldLeasesExpireAt = endive.Latest(w.leasesExpireAt(), m.lateOrdersUntil(w).Add(longestLease))
	m.recordRestart(w, startTime)
	w.release()
	for _, r := range w.runs {
		r.reported = false
	}
	w.isolation.soleRun = nil
	// What the previous incarnation said of itself doesn't hold for this one, which may be of another kind.
	// Nothing starts there until the platform's list shows its own registration.
	w.info = endive.FleetWorker{ID: w.info.ID, Pool: w.info.Pool, Address: w.info.Address, StartTime: startTime, Unconfirmed: true}
	w.incarnations++
	w.knowledge, w.addressReused = knowsNothing, false
	w.recordedTasks = nil
	m.forgetDraining(w)
	w.lastEnd, w.leaseEnd, w.clock, w.lastReport = 0, 0, clockReading{}, 0
	w.answeredAt, w.answersLate = time.Time{}, false
	w.unrecordedEnds, w.unreadEnds = make(map[endive.EndNumber]bool), nil
	w.poll.nextAt = m.now
}

// lateOrdersUntil returns until when the worker may carry out an order to start that was sent before now.
func (m *Machine) lateOrdersUntil(w *worker) time.Time {
	for _, r := range w.runs {
		if r.inFlight {
			return m.now.Add(maxOrderDelay)
		}
	}
	return endive.Latest(m.now, w.lateOrdersUntil)
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

// logOtherIncarnation logs that the answer to an order to start shows a clock that began after the known incarnation
// did: the worker has restarted. The order has the lease by the clock of the earlier incarnation.
func (m *Machine) logOtherIncarnation(r *run, clock endive.WorkerTime) {
	if clock > 0 && r.sentTo == r.worker.incarnations && clock < r.sentClock {
		m.logDecision(Decision{Kind: DecisionStart, Task: r.id, Run: r.number, Worker: r.worker.id, Outcome: OutcomeOtherIncarnation,
			Reason: "the worker's clock shows " + formatInt(int64(clock)) + " after " + formatInt(int64(r.sentClock)) + "; lease by that clock"})
	}
}
