package place

import (
	"sort"

	"endiveroute.example/endive"
)

// workers are the slice's workers, sorted by id.
type workers struct {
	list []*worker
	byID map[endive.WorkerID]*worker
	// free is the free capacity of each worker in list. The capacities are kept
	// apart from the workers so that they are contiguous in memory.
	free []endive.Resources
	// commandsDue are the workers that may be due for a command.
	commandsDue []*worker
}

func newWorkers() workers { return workers{byID: make(map[endive.WorkerID]*worker)} }

// countUnanswered counts the workers of the previous holder's roster that
// haven't answered this holder.
func (s *workers) countUnanswered() int {
	n := 0
	for _, w := range s.list {
		if w.inPreviousRoster && !w.answered {
			n++
		}
	}
	return n
}

// reindex updates the workers' indexes after the list has changed.
func (s *workers) reindex() {
	s.free = s.free[:0]
	for i, w := range s.list {
		w.list, w.index = s, i
		s.free = append(s.free, w.free())
	}
}

func (s *workers) markCommandDue(w *worker) {
	if !w.commandDue {
		w.commandDue = true
		s.commandsDue = append(s.commandsDue, w)
	}
}

// findOrAddWorker returns the worker of an id. An unknown one is added as
// terminated.
func (m *Machine) findOrAddWorker(id endive.WorkerID) *worker {
	if w, ok := m.workers.byID[id]; ok {
		return w
	}
	w := &worker{
		id: id, state: endive.MemberGone, byID: make(map[endive.AttemptID]*attempt),
		reportedEnds: make(map[endive.AttemptID]uint64), probeAt: m.now, leasesEnd: m.takeover.previousLeasesEnd, renewUntil: m.now.Add(silenceTimeout),
	}
	m.workers.byID[id] = w
	list := append(m.workers.list, w)
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	m.workers.list = list
	m.workers.reindex()
	return w
}

// updateWorkers updates the workers from the current members and configuration.
func (m *Machine) updateWorkers() {
	if !m.active {
		return
	}
	parts := 0
	if pool, ok := m.config.Pool(m.slice.Pool); ok {
		parts = pool.Parts
	}
	listed := make(map[endive.WorkerID]bool)
	grown := false
	for _, e := range m.members.Endpoints {
		if e.Kind != endive.KindWorker || e.Pool != m.slice.Pool || endive.SliceOf(e.Instance, parts).ID != m.slice.ID {
			continue
		}
		listed[endive.WorkerID(e.ID)] = true
		grown = m.updateWorker(e) || grown
	}
	for _, w := range m.workers.list {
		if !listed[w.id] {
			m.setState(w, endive.MemberGone)
		}
	}
	m.updateTotalSize()
	if grown {
		m.unparkAll()
	}
	m.capacityChanged()
}

// updateWorker updates a worker and reports whether it is new or has grown.
func (m *Machine) updateWorker(e endive.Endpoint) bool {
	w := m.findOrAddWorker(endive.WorkerID(e.ID))
	w.rack, w.drained = e.Rack, m.config.Drained(e.ID)
	if w.address != e.Address {
		w.address, w.probeAt = e.Address, m.now
		w.responsive = false
	}
	grown := !e.Size.Fits(w.listed)
	if w.listed != e.Size {
		w.listed, w.size = e.Size, e.Size
		w.updateFree()
	}
	m.setState(w, e.State)
	m.workers.markCommandDue(w)
	return grown
}

// setState sets the worker's state. Leases on a terminated worker are no longer
// renewed, so that they expire.
func (m *Machine) setState(w *worker, state endive.MemberState) {
	if w.state == state {
		return
	}
	if state == endive.MemberGone {
		w.responsive, w.renewUntil = false, m.now
	} else if w.state == endive.MemberGone {
		w.responsive, w.probeAt, w.renewUntil = false, m.now, m.now.Add(silenceTimeout)
	}
	w.state = state
}

func (m *Machine) updateTotalSize() {
	m.totalSize = endive.Resources{}
	for _, w := range m.workers.list {
		if w.state != endive.MemberGone {
			m.totalSize = m.totalSize.Add(w.size)
		}
	}
}

// sweep handles deadlines, expired leases and retries that are due.
func (m *Machine) sweep() {
	m.sweepAt = m.now.Add(sweepInterval)
	var removed []*worker
	timed := m.gangReservation != nil
	for _, w := range m.workers.list {
		if w.pending != nil && !m.now.Before(w.pending.deadline) {
			m.markUnresponsive(w)
		}
		if !w.responsive && !m.now.Before(w.renewUntil) && !m.now.Before(w.leasesEnd) {
			m.endExpiredAttempts(w)
			if w.state == endive.MemberGone && w.pending == nil && m.takeover.done {
				removed = append(removed, w)
			}
		}
		timed = timed || w.health.quarantines > 0
		m.workers.markCommandDue(w)
	}
	for _, w := range removed {
		m.removeWorker(w)
	}
	m.enqueueDueRetries()
	m.scheduleUsageWrite()
	if timed {
		m.capacityChanged()
	}
	m.deactivateIfIdle()
}

// deactivateIfIdle ends the work of a holder that has lost the slice's lease,
// once no worker has an attempt left to renew.
func (m *Machine) deactivateIfIdle() {
	if m.lease.Held {
		return
	}
	for _, w := range m.workers.list {
		if !w.superseded && (len(w.attempts) > 0 || w.pending != nil) {
			return
		}
	}
	m.active = false
	m.logDecision(endive.DecisionLease, string(m.slice.ID), "deactivated", "the lease is lost and no worker has a task to renew")
}

// endExpiredAttempts ends the attempts on a silent worker, whose leases have
// expired.
func (m *Machine) endExpiredAttempts(w *worker) {
	for _, a := range append([]*attempt(nil), w.attempts...) {
		a.leaseExpired = true
		m.endAttempt(a, endive.TaskReport{State: taskLost, Reason: "the worker doesn't answer and the task's lease has expired"})
	}
}

// removeWorker removes a terminated worker.
func (m *Machine) removeWorker(w *worker) {
	delete(m.workers.byID, w.id)
	for i, other := range m.workers.list {
		if other == w {
			m.workers.list = append(m.workers.list[:i], m.workers.list[i+1:]...)
			break
		}
	}
	m.workers.reindex()
	m.recordRoster()
}

// capacityChanged requests a scheduling pass that tries every shape.
func (m *Machine) capacityChanged() {
	m.capacityVersion++
	m.passNeeded = true
	m.queue.unblockAll()
}

// capacityFreed requests a scheduling pass that tries the shapes which fit on
// the worker.
func (m *Machine) capacityFreed(w *worker) {
	m.capacityVersion++
	m.passNeeded = true
	if !w.acceptsTasks(m.now) {
		return
	}
	minAccelerators := endive.Accelerators(0)
	if w.size.Accelerators > 0 && m.waitingAcceleratorTasks > 0 {
		minAccelerators = 1
	}
	m.queue.unblockFitting(w.free(), minAccelerators)
}
