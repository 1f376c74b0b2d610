package flow

import (
	"time"

	"endiveroute.example/endive"
)

// hasTerminated reports whether the result of a poll proves that a worker has terminated: another worker
// answers at its address. Nothing else proves it. A worker that is cut off from the holder and from the
// platform may refuse connections or leave them unanswered, isn't listed any more, and runs on until
// its leases expire.
func hasTerminated(e PollResult) bool { return e.Answer.Refused == endive.RefusalIncarnation }

// hasLeft reports whether a worker that the platform doesn't list, and to which no connection can be
// opened, may be forgotten: all leases that it may have had have expired.
func (m *Machine) hasLeft(w *worker, e PollResult) bool {
	if w.listed || e.Result != OrderRefused && e.Result != OrderNotSent {
		return false
	}
	return !m.now.Before(m.leasesSurelyOver(w))
}

// leasesSurelyOver returns when all leases have surely expired that this holder or an earlier one has
// granted to a worker.
func (m *Machine) leasesSurelyOver(w *worker) time.Time {
	leases := m.leaseEndsOf(w)
	expired := leases.known
	for _, r := range w.runs {
		expired = endive.Latest(expired, leases.of(r))
	}
	if !w.answered() {
		return endive.Latest(expired, m.tenure.takeoverDeadline)
	}
	return expired
}

// handleTerminated drops the runs of a terminated worker, and removes the worker unless it is
// still listed.
func (m *Machine) handleTerminated(w *worker, reason string) {
	m.dropRuns(w, w.sortedRuns(), "its worker has terminated")
	m.passDue = true
	if w.listed {
		// The list is out of date. The worker is kept until it is unlisted; otherwise it would
		// be added again as a new worker.
		if !w.endsKnown() || w.failedPolls == 0 {
			m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "gone", Reason: "it is still listed, and a poll failed: " + reason})
		}
		w.knowledge = knowsEnds
		w.failedPolls++
		w.poll.nextAt = m.now.Add(m.idlePollInterval())
		return
	}
	m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "gone", Reason: "it isn't listed, and a poll failed: " + reason})
	delete(m.workers, w.id)
	m.sortWorkers()
}
