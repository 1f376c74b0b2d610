package flow

import "endiveroute.example/endive"

// A worker that has restarted knows no epoch, so it would carry out calls to its former incarnations, which have arrived
// late. The holder raises the epoch of its calls to the worker with each restart that it sees. Once the worker has
// answered a poll with the raised epoch, none of these calls can take effect any more.

// epochFor returns the epoch of calls to the worker.
func (m *Machine) epochFor(w *worker) endive.Epoch {
	return m.tenure.epoch.AfterRestarts(w.incarnations)
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
func (w *worker) awaitsFence() bool { return !w.fenced && w.incarnations < int(endive.EpochsPerTenure) }

// handleRefusedEpoch handles that a worker refused the epoch of an order of a run. If the order was sent to an earlier
// incarnation, it was refused as it should be, and the next poll shows what the worker has of the run.
func (m *Machine) handleRefusedEpoch(r *run) {
	if r.sentTo == r.worker.incarnations {
		m.handleFenced("worker " + string(r.worker.id))
		return
	}
	m.pollNow(r.worker)
}

// isOnFormer reports whether the last order of the run was sent to an earlier incarnation of its worker.
func (r *run) isOnFormer() bool { return r.sentTo < r.worker.incarnations }
