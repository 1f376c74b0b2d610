package flow

import (
	"time"

	"endiveroute.example/endive"
)

// stopRun orders a worker to stop a run.
func (m *Machine) stopRun(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	m.logDecision(Decision{Kind: DecisionStop, Task: r.id, Run: r.number, Worker: r.worker.id, Outcome: "ordered", Reason: reason})
	r.state = runStopping
	r.confirmedStep = 0
	if !r.inFlight {
		m.sendStop(r)
	}
}

func (m *Machine) sendStop(r *run) {
	w := r.worker
	r.recordSent(m.now, false)
	r.retryAt = time.Time{}
	m.emit(StopRun{Order: endive.StopOrder{Worker: w.ref(), Task: r.id, Run: r.number, Epoch: m.epochFor(w)}})
}

// handleStopResult processes the answer to an order to stop.
func (m *Machine) handleStopResult(e StopResult) {
	r := m.findRun(e.Worker, e.Task, e.Run)
	if r == nil || !r.inFlight {
		return
	}
	r.inFlight = false
	m.markChanged(r.worker)
	r.readClock(e.Answer.Clock, m.now)
	refusedEpoch := e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalEpoch
	if refusedEpoch && m.handleRefusedEpoch(r) {
		return
	}
	confirmed := e.Result == OrderAnswered && !refusedEpoch && e.Answer.Refused != endive.RefusalUnhealthy && e.Answer.Refused != endive.RefusalInvalid
	if confirmed {
		// From now on the worker refuses to start this run.
		r.confirmedStep = m.stepCount
		if r.worker.poll.nextAt.After(m.now) {
			r.worker.poll.nextAt = m.now
		}
		return
	}
	r.retryAt = m.now.Add(stopRetryDelay)
}

// stopRetryDelay is the pause before an order to stop is sent again.
const stopRetryDelay = 100 * time.Millisecond

// retryStops sends again the orders to stop that failed.
func (m *Machine) retryStops(w *worker) {
	for _, r := range w.runs {
		if r.state != runStopping || r.inFlight || r.retryAt.IsZero() {
			continue
		}
		if m.now.Before(r.retryAt) {
			w.dueAt = endive.Earliest(w.dueAt, r.retryAt)
			continue
		}
		m.sendStop(r)
	}
}
