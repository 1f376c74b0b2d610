package flow

import (
	"sort"

	"endiveroute.example/endive"
)

// rosterGrows reports whether a worker isn't in the roster yet.
func (m *Machine) rosterGrows() bool {
	if !m.recorder.rosterStale {
		return false
	}
	for _, w := range m.ordered {
		if w.listed && !m.recorder.roster[w.id] {
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
func (m *Machine) newRoster() map[endive.WorkerID]bool {
	roster := make(map[endive.WorkerID]bool, len(m.workers))
	for id := range m.workers {
		roster[id] = true
	}
	return roster
}

// rosterParts is over how many rows a roster is spread: a row holds 64 KiB, some hundreds
// of workers.
const rosterParts = 16

// rosterPart returns the part that a worker is in.
func rosterPart(id endive.WorkerID) int { return int(endive.Rendezvous("", string(id)) % rosterParts) }

// rosterWrites returns the writes of those parts of a roster that aren't as recorded.
func (m *Machine) rosterWrites(roster map[endive.WorkerID]bool) []endive.Write {
	var rows [rosterParts]Roster
	for id := range roster {
		part := &rows[rosterPart(id)]
		part.Workers = append(part.Workers, RosterWorker{ID: id, Address: m.workers[id].self.Address})
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
func differingParts(a, b map[endive.WorkerID]bool) [rosterParts]bool {
	var differ [rosterParts]bool
	for id := range a {
		if !b[id] {
			differ[rosterPart(id)] = true
		}
	}
	for id := range b {
		if !a[id] {
			differ[rosterPart(id)] = true
		}
	}
	return differ
}

// doubtRoster notes that a write of a roster may have been carried out or not: only
// workers of both are surely recorded.
func (m *Machine) doubtRoster(sent map[endive.WorkerID]bool) {
	for id := range m.recorder.roster {
		if !sent[id] {
			delete(m.recorder.roster, id)
		}
	}
	m.recorder.rosterStale = true
}
