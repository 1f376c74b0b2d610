package flow

import (
	"time"

	"endiveroute.example/endive"
)

// stopRun orders a run to end.
func (m *Machine) stopRun(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	m.note(Decision{Kind: DecisionStop, Task: r.id, Run: r.number, Worker: r.worker.id, Outcome: "ordered", Reason: reason})
	r.state = runStopping
	r.settled = 0
	if !r.inFlight {
		m.sendStop(r)
	}
}

func (m *Machine) sendStop(r *run) {
	r.inFlight = true
	r.retryAt = time.Time{}
	m.emit(StopRun{Order: endive.StopOrder{Worker: r.worker.ref(), Task: r.id, Run: r.number, Epoch: m.tenure.epoch}})
}

// stopped takes in the answer to an order to stop.
func (m *Machine) stopped(e StopResult) {
	r := m.runOf(e.Worker, e.Task, e.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	m.touchWorker(r.worker)
	r.worker.read(e.Answer.Clock, m.now)
	if e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalEpoch {
		m.fenced("worker " + string(e.Worker))
		return
	}
	done := e.Result == OrderAnswered && e.Answer.Refused != endive.RefusalUnhealthy && e.Answer.Refused != endive.RefusalInvalid
	if done {
		// From now on a start of this run is refused there.
		r.settled = m.steps
		if r.worker.hold.again.After(m.now) {
			r.worker.hold.again = m.now
		}
		return
	}
	r.retryAt = m.now.Add(stopRetry)
}

// stopRetry is the pause before an order to stop is sent again.
const stopRetry = 100 * time.Millisecond

// retryOrders sends again what wasn't answered.
func (m *Machine) retryOrders(w *worker) {
	for _, r := range w.runs {
		if r.state != runStopping || r.inFlight || r.retryAt.IsZero() {
			continue
		}
		if m.now.Before(r.retryAt) {
			w.nextAt = endive.Earliest(w.nextAt, r.retryAt)
			continue
		}
		m.sendStop(r)
	}
}
