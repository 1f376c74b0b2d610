package flow

import "endiveroute.example/endive"

// hasTerminated reports whether a look has shown that a worker's life is over: somebody else
// answers at its address, or the platform doesn't list it any more, and nothing listens
// there. Missing from the list, with or without an answer, is not enough: a worker that is
// cut off runs on, and the last holder may have reached it and renewed its leases. But one
// that had told that it would leave, has left the list and takes no connections has left.
func (m *Machine) hasTerminated(w *worker, e PollResult) bool {
	if e.Answer.Refused == endive.RefusalIncarnation {
		return true
	}
	if w.listed {
		return false
	}
	drained := m.recorder.roster[w.id] == rosterDraining && e.Result == OrderNotSent
	return drained || e.Result == OrderRefused
}

// handleTerminated gives up what a worker ran whose life is over.
func (m *Machine) handleTerminated(w *worker, reason string) {
	m.dropRuns(w, "its worker is gone")
	m.passDue = true
	if w.listed {
		// Its entry lags. It stays until that disappears, so that it isn't taken for new.
		if !w.adopted || w.failedPolls == 0 {
			m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "gone", Reason: "it is still listed, and a look says " + reason})
		}
		w.adopted = true
		w.failedPolls++
		w.poll.nextAt = m.now.Add(idlePollInterval)
		return
	}
	m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "gone", Reason: "it isn't listed, and a look says " + reason})
	delete(m.workers, w.id)
	m.sortWorkers()
}
