package flow

import (
	"sort"

	"endiveroute.example/endive"
)

// rosterStatus says what is recorded of a worker.
type rosterStatus int

const (
	rosterAbsent rosterStatus = iota
	rosterPresent
	rosterDraining
)

// status returns what a row records of a worker.
func (r RosterWorker) status() rosterStatus {
	if r.Draining {
		return rosterDraining
	}
	return rosterPresent
}

// rosterStatus returns what is to be recorded of a worker.
func (w *worker) rosterStatus() rosterStatus {
	if w.info.Draining {
		return rosterDraining
	}
	return rosterPresent
}

// rosterIncomplete reports whether a worker isn't in the roster yet, or not as draining.
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

// rosterHasTerminated reports whether many workers of the roster are gone.
func (m *Machine) rosterHasTerminated() bool {
	return m.tenure.takeoverDone && len(m.recorder.roster) > len(m.workers)
}

// newRoster returns the workers that may run something.
func (m *Machine) newRoster() map[endive.WorkerID]rosterStatus {
	roster := make(map[endive.WorkerID]rosterStatus, len(m.workers))
	for id, w := range m.workers {
		roster[id] = max(m.recorder.roster[id], w.rosterStatus())
	}
	return roster
}

// rosterPartitions is over how many rows a roster is spread: a row holds 64 KiB, some hundreds
// of workers.
const rosterPartitions = 16

// rosterPartition returns the part that a worker is in.
func rosterPartition(id endive.WorkerID) int {
	return int(endive.Rendezvous("", string(id)) % rosterPartitions)
}

// rosterWrites returns the writes of those parts of a roster that aren't as recorded.
func (m *Machine) rosterWrites(roster map[endive.WorkerID]rosterStatus) []endive.Write {
	var rows [rosterPartitions]Roster
	for id, status := range roster {
		partition := &rows[rosterPartition(id)]
		partition.Workers = append(partition.Workers, RosterWorker{
			ID: id, Address: m.workers[id].info.Address, Draining: status == rosterDraining,
		})
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

// differingPartitions returns the parts in which two rosters differ.
func differingPartitions(a, b map[endive.WorkerID]rosterStatus) [rosterPartitions]bool {
	var differ [rosterPartitions]bool
	for id, status := range a {
		if b[id] != status {
			differ[rosterPartition(id)] = true
		}
	}
	for id, mark := range b {
		if a[id] != mark {
			differ[rosterPartition(id)] = true
		}
	}
	return differ
}

// intersectRoster notes that a write of a roster may have been carried out or not: only
// workers of both are surely recorded.
func (m *Machine) intersectRoster(sent map[endive.WorkerID]rosterStatus) {
	for id := range m.recorder.roster {
		if sent[id] == rosterAbsent {
			delete(m.recorder.roster, id)
		}
	}
	m.recorder.rosterStale = true
}
