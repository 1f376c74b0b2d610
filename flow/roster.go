package flow

import (
	"sort"

	"endiveroute.example/endive"
)

// rosterMark says what is recorded of a worker.
type rosterMark int

const (
	rosterAbsent rosterMark = iota
	rosterPresent
	rosterDraining
)

// mark returns what a row records of a worker.
func (r RosterWorker) mark() rosterMark {
	if r.Draining {
		return rosterDraining
	}
	return rosterPresent
}

// mark returns what is to be recorded of a worker.
func (w *worker) mark() rosterMark {
	if w.self.Draining {
		return rosterDraining
	}
	return rosterPresent
}

// rosterGrows reports whether a worker isn't in the roster yet, or not as draining.
func (m *Machine) rosterGrows() bool {
	if !m.recorder.rosterStale {
		return false
	}
	for _, w := range m.ordered {
		if w.listed && m.recorder.roster[w.id] < w.mark() {
			return true
		}
	}
	m.recorder.rosterStale = false
	return false
}

// rosterShrinks reports whether many workers of the roster are gone.
func (m *Machine) rosterShrinks() bool {
	return m.tenure.settled && len(m.recorder.roster) > len(m.workers)
}

// newRoster returns the workers that may run something.
func (m *Machine) newRoster() map[endive.WorkerID]rosterMark {
	roster := make(map[endive.WorkerID]rosterMark, len(m.workers))
	for id, w := range m.workers {
		roster[id] = max(m.recorder.roster[id], w.mark())
	}
	return roster
}

// rosterParts is over how many rows a roster is spread: a row holds 64 KiB, some hundreds
// of workers.
const rosterParts = 16

// rosterPart returns the part that a worker is in.
func rosterPart(id endive.WorkerID) int { return int(endive.Rendezvous("", string(id)) % rosterParts) }

// rosterWrites returns the writes of those parts of a roster that aren't as recorded.
func (m *Machine) rosterWrites(roster map[endive.WorkerID]rosterMark) []endive.Write {
	var rows [rosterParts]Roster
	for id, mark := range roster {
		part := &rows[rosterPart(id)]
		part.Workers = append(part.Workers, RosterWorker{
			ID: id, Address: m.workers[id].self.Address, Draining: mark == rosterDraining,
		})
	}
	changed := differingParts(m.recorder.roster, roster)
	var writes []endive.Write
	for i := range rows {
		if !changed[i] {
			continue
		}
		workers := rows[i].Workers
		sort.Slice(workers, func(a, b int) bool { return workers[a].ID < workers[b].ID })
		writes = append(writes, endive.Write{Key: rosterKey(m.pool, i), Value: encode(rows[i])})
	}
	return writes
}

// differingParts returns the parts in which two rosters differ.
func differingParts(a, b map[endive.WorkerID]rosterMark) [rosterParts]bool {
	var differ [rosterParts]bool
	for id, mark := range a {
		if b[id] != mark {
			differ[rosterPart(id)] = true
		}
	}
	for id, mark := range b {
		if a[id] != mark {
			differ[rosterPart(id)] = true
		}
	}
	return differ
}

// doubtRoster notes that a write of a roster may have been carried out or not: only
// workers of both are surely recorded.
func (m *Machine) doubtRoster(sent map[endive.WorkerID]rosterMark) {
	for id := range m.recorder.roster {
		if sent[id] == rosterAbsent {
			delete(m.recorder.roster, id)
		}
	}
	m.recorder.rosterStale = true
}
