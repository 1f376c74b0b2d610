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

func sorted(ids map[endive.WorkerID]bool) []endive.WorkerID {
	list := make([]endive.WorkerID, 0, len(ids))
	for id := range ids {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
