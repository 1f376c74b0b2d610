package flow

import (
	"sort"

	"endiveroute.example/endive"
)

// rosterStatus is the recorded status of a worker.
type rosterStatus int

const (
	rosterAbsent rosterStatus = iota
	rosterPresent
	rosterDraining
)

// rosterRecord is what the stored roster says of a worker.
type rosterRecord struct {
	status rosterStatus
	// capacity is the largest capacity under which anything may be started on the worker.
	capacity endive.Resources
}

// covers reports whether the record still applies to a worker.
func (r rosterRecord) covers(w *worker) bool {
	return r.status >= w.rosterStatus() && w.info.Capacity.Fits(r.capacity)
}

// record returns what a stored row says of the worker.
func (r RosterWorker) record() rosterRecord {
	if r.Draining {
		return rosterRecord{status: rosterDraining, capacity: r.Capacity}
	}
	return rosterRecord{status: rosterPresent, capacity: r.Capacity}
}

// rosterEntry returns the worker's entry in a roster in which it has the given record.
func (w *worker) rosterEntry(record rosterRecord) RosterWorker {
	entry := RosterWorker{ID: w.id, Address: w.info.Address, Capacity: record.capacity, Draining: record.status == rosterDraining}
	entry.Tasks, entry.TasksKnown = w.tasksToRecord()
	return entry
}

// restore sets what may run on a worker according to the roster. w is nil if the worker is known to
// have terminated.
func (w *worker) restore(r RosterWorker) {
	if w == nil {
		return
	}
	w.inherited = true
	w.largestCapacity = w.largestCapacity.Max(r.Capacity)
	if !r.Draining || !r.TasksKnown {
		return
	}
	w.recordedTasks = make(map[endive.TaskID]bool, len(r.Tasks))
	for _, id := range r.Tasks {
		w.recordedTasks[id] = true
	}
}

// forgetDraining makes the roster's row of a worker be written again before anything is started
// there: while the row says that the worker is draining, it lists all tasks that may run there.
func (m *Machine) forgetDraining(w *worker) {
	if m.recorder.roster[w.id].status == rosterDraining {
		delete(m.recorder.roster, w.id)
		m.recorder.rosterStale = true
	}
}

// rosterStatus returns the status to be recorded of a worker.
func (w *worker) rosterStatus() rosterStatus {
	if w.info.Draining {
		return rosterDraining
	}
	return rosterPresent
}

// rosterIncomplete reports whether the stored roster lacks a listed worker, the mark that a worker
// is draining, or the capacity of a worker that has grown.
func (m *Machine) rosterIncomplete() bool {
	if !m.recorder.rosterStale {
		return false
	}
	for _, w := range m.sortedWorkers {
		if w.listed && !m.recorder.roster[w.id].covers(w) {
			return true
		}
	}
	m.recorder.rosterStale = false
	return false
}

// rosterHasTerminated reports whether the stored roster is larger than the set of workers, so
// that terminated workers have to be removed from it.
func (m *Machine) rosterHasTerminated() bool {
	return m.tenure.takeoverDone && len(m.recorder.roster) > len(m.workers)
}

// newRoster returns the roster to be stored: all workers that may have runs.
func (m *Machine) newRoster() map[endive.WorkerID]rosterRecord {
	roster := make(map[endive.WorkerID]rosterRecord, len(m.workers))
	for id, w := range m.workers {
		stored := m.recorder.roster[id]
		roster[id] = rosterRecord{status: max(stored.status, w.rosterStatus()), capacity: stored.capacity.Max(w.largestCapacity)}
	}
	return roster
}

// rosterPartitions is the number of rows that a roster is split into. A row holds at most
// 64 KiB, which is some hundreds of workers.
const rosterPartitions = 16

// rosterPartition returns the number of the roster row that a worker is in.
func rosterPartition(id endive.WorkerID) int {
	return int(endive.Rendezvous("", string(id)) % rosterPartitions)
}

// rosterWrites returns the writes of the rows in which a roster differs from the stored one.
func (m *Machine) rosterWrites(roster map[endive.WorkerID]rosterRecord) []endive.Write {
	var rows [rosterPartitions]Roster
	for id, record := range roster {
		partition := &rows[rosterPartition(id)]
		partition.Workers = append(partition.Workers, m.workers[id].rosterEntry(record))
	}
	changed := differingPartitions(m.recorder.roster, roster)
	var writes []endive.Write
	for i := range rows {
		if !changed[i] {
			continue
		}
		workers := rows[i].Workers
		sort.Slice(workers, func(a, b int) bool { return workers[a].ID < workers[b].ID })
		writes = append(writes, endive.Write{Key: rosterKey(m.pool, i), Value: encodeRow(rows[i])})
	}
	return writes
}

// differingPartitions returns, for each roster row, whether two rosters differ in it.
func differingPartitions(a, b map[endive.WorkerID]rosterRecord) [rosterPartitions]bool {
	var differ [rosterPartitions]bool
	for id, record := range a {
		if b[id] != record {
			differ[rosterPartition(id)] = true
		}
	}
	for id, record := range b {
		if a[id] != record {
			differ[rosterPartition(id)] = true
		}
	}
	return differ
}

// intersectRoster removes from the recorded roster the workers that aren't in sent, a roster
// whose write failed or got no answer: only workers that are in both are surely stored, with the
// smaller of the two capacities.
func (m *Machine) intersectRoster(sent map[endive.WorkerID]rosterRecord) {
	for id, record := range m.recorder.roster {
		if sent[id].status == rosterAbsent {
			delete(m.recorder.roster, id)
			continue
		}
		record.capacity = record.capacity.Min(sent[id].capacity)
		m.recorder.roster[id] = record
	}
	m.recorder.rosterStale = true
}
