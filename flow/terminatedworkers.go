package flow

import "endiveroute.example/endive"

// hasTerminated reports whether the result of a poll shows that a worker has terminated: another
// worker answers at its address, or the platform doesn't list it any more and its address
// refuses connections. An unlisted worker without an answer may still run: the network may have
// cut it off, and the previous holder may have reached it and renewed its leases. But an
// unlisted worker that had announced its leaving and to which no connection can be opened has
// terminated.
func (m *Machine) hasTerminated(w *worker, e PollResult) bool {
	if e.Answer.Refused == endive.RefusalIncarnation {
		return true
	}
	if w.listed {
		return false
	}
	drained := m.recorder.roster[w.id].status == rosterDraining && e.Result == OrderNotSent
	return drained || e.Result == OrderRefused
}

// handleTerminated drops the runs of a terminated worker, and removes the worker unless it is
// still listed.
func (m *Machine) handleTerminated(w *worker, reason string) {
	m.dropRuns(w, "its worker has terminated")
	m.passDue = true
	if w.listed {
		// The list is out of date. The worker is kept until it is unlisted; otherwise it would
		// be added again as a new worker.
		if !w.adopted || w.failedPolls == 0 {
			m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "gone", Reason: "it is still listed, and a poll failed: " + reason})
		}
		w.adopted = true
		w.failedPolls++
		w.poll.nextAt = m.now.Add(m.idlePollInterval())
		return
	}
	m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "gone", Reason: "it isn't listed, and a poll failed: " + reason})
	delete(m.workers, w.id)
	m.sortWorkers()
}
