package flow

import "endiveroute.example/endive"

// A worker that has restarted knows no epoch, so it would carry out calls to its former incarnations, which have arrived
// late. The holder raises the epoch of its calls to the worker with each restart that it sees. Once the worker has
// answered a poll with the raised epoch, none of these calls can take effect any more. A worker that falls silent may be
// restarting: its epoch is raised then, so that the first answer after a restart already refuses what was sent before.

// maxSilenceEpochs limits the epochs of a tenure that a worker uses up by silence, so that enough are left for restarts.
const maxSilenceEpochs = int(endive.EpochsPerTenure) / 2

// epochFor returns the epoch of calls to the worker.
func (m *Machine) epochFor(w *worker) endive.Epoch {
	return m.tenure.epoch.AfterRestarts(w.epochsUsed())
}

// epochsUsed returns how many lower epochs of the tenure the worker has used up.
func (w *worker) epochsUsed() int { return w.incarnations + w.silences }

// countSilence raises the epoch of calls to a worker that has fallen silent.
func (m *Machine) countSilence(w *worker) {
	if !w.answered() || w.silences >= maxSilenceEpochs || w.epochsUsed()+1 >= int(endive.EpochsPerTenure) {
		return
	}
	w.silences++
	m.silences[w.id] = w.silences
	if w.silences == maxSilenceEpochs {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "epochs used up", Reason: "the worker has fallen silent " +
			formatInt(int64(w.silences)) + " times in this tenure; its epoch is raised only with its restarts from now on"})
	}
}

// countIncarnation counts an incarnation of a worker, and returns the number of earlier ones in this tenure.
func (m *Machine) countIncarnation(id endive.WorkerID) int {
	earlier := m.incarnations[id]
	m.incarnations[id] = earlier + 1
	return earlier
}

// recordFence records that the worker has answered a poll, which may have been sent to an earlier incarnation. Leases
// that calls to those have granted may be as old as the answer. A worker that has restarted so often in this tenure that
// its epoch can't be raised any more isn't used until the next one.
func (m *Machine) recordFence(w *worker, poll openPoll) {
	if !w.awaitsFence() || poll.sentTo != w.incarnations {
		return
	}
	w.fenced = true
	if w.incarnations > 0 {
		w.oldLeasesExpireAt = endive.Earliest(w.oldLeasesExpireAt, m.now.Add(m.longestLease()))
	}
}

// awaitsFence reports whether the next poll tells the worker a higher epoch than any that was sent to its earlier
// incarnations.
func (w *worker) awaitsFence() bool { return !w.fenced && w.epochsUsed() < int(endive.EpochsPerTenure) }

// handleRefusedEpoch handles that a worker refused the epoch of an order of a run, and reports whether that is all. If the
// order was sent to an earlier incarnation, it was refused as it should be, and the next poll shows what the worker has of
// the run. If the worker has only been silent since, the order is to be sent again.
func (m *Machine) handleRefusedEpoch(r *run) bool {
	switch {
	case r.sentEpochs == r.worker.epochsUsed():
		m.handleFenced("worker " + string(r.worker.id))
		return true
	case r.isOnFormer():
		m.pollNow(r.worker)
		return true
	}
	return false
}

// isOnFormer reports whether the last order of the run was sent to an earlier incarnation of its worker.
func (r *run) isOnFormer() bool { return r.sentTo < r.worker.incarnations }
