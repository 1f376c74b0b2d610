package place

import "endiveroute.example/endive"

// Load is what a holder tells its peers of a slice.
type Load struct {
	Slice endive.SliceID
	Epoch endive.Epoch
	// Queued counts tasks that wait, Running those that may run.
	Queued  int
	Running int
	// Free is what the usable workers have left, together.
	Free endive.Resources
}

// Load returns what peers are told of the slice.
func (m *Machine) Load() Load {
	load := Load{Slice: m.slice.ID, Epoch: m.lease.Epoch, Queued: m.waitingTasks}
	for _, w := range m.workers.list {
		load.Running += len(w.attempts)
		if w.acceptsTasks(m.now) {
			load.Free = load.Free.Add(w.free())
		}
	}
	return load
}
