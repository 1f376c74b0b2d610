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

// rosterRow returns the row of a roster.
func (m *Machine) rosterRow(roster map[endive.WorkerID]bool) Roster {
	var row Roster
	for id := range roster {
		row.Workers = append(row.Workers, RosterWorker{ID: id, Address: m.workers[id].self.Address})
	}
	sort.Slice(row.Workers, func(i, j int) bool { return row.Workers[i].ID < row.Workers[j].ID })
	return row
}
