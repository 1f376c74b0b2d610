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

// status returns the status that a stored row gives.
func (r RosterWorker) status() rosterStatus {
	if r.Draining {
		return rosterDraining
	}
	return rosterPresent
}

// rosterEntry returns the worker's entry in a roster in which it has the given status.
func (w *worker) rosterEntry(status rosterStatus) RosterWorker {
	entry := RosterWorker{ID: w.id, Address: w.info.Address, Capacity: w.info.Capacity, Draining: status == rosterDraining}
	entry.Tasks, entry.TasksKnown = w.tasksToRecord()
	return entry
}

// restoreTasks sets the tasks that may run on a worker according to the roster. w is nil if the
// worker is known to have terminated.
func (w *worker) restoreTasks(r RosterWorker) {
	if w == nil || !r.Draining || !r.TasksKnown {
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
	if m.recorder.roster[w.id] == rosterDraining {
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

// rosterIncomplete reports whether the stored roster lacks a listed worker, or lacks the mark
// that a worker is draining.
func (m *Machine) rosterIncomplete() bool {
	if !m.recorder.rosterStale {
		return false
	}
	for _, w := range m.sortedWorkers {
		if w.listed && m.recorder.roster[w.id] < w.rosterStatus() {
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
func (m *Machine) newRoster() map[endive.WorkerID]rosterStatus {
	roster := make(map[endive.WorkerID]rosterStatus, len(m.workers))
	for id, w := range m.workers {
		roster[id] = max(m.recorder.roster[id], w.rosterStatus())
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
func (m *Machine) rosterWrites(roster map[endive.WorkerID]rosterStatus) []endive.Write {
	var rows [rosterPartitions]Roster
	for id, status := range roster {
		partition := &rows[rosterPartition(id)]
		partition.Workers = append(partition.Workers, m.workers[id].rosterEntry(status))
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
func differingPartitions(a, b map[endive.WorkerID]rosterStatus) [rosterPartitions]bool {
	var differ [rosterPartitions]bool
	for id, status := range a {
		if b[id] != status {
			differ[rosterPartition(id)] = true
		}
	}
	for id, status := range b {
		if a[id] != status {
			differ[rosterPartition(id)] = true
		}
	}
	return differ
}

// intersectRoster removes from the recorded roster the workers that aren't in sent, a roster
// whose write failed or got no answer: only workers that are in both are surely stored.
func (m *Machine) intersectRoster(sent map[endive.WorkerID]rosterStatus) {
	for id := range m.recorder.roster {
		if sent[id] == rosterAbsent {
			delete(m.recorder.roster, id)
		}
	}
	m.recorder.rosterStale = true
}
