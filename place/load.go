package place

import "endiveroute.example/endive"

// Load is the load of a slice, which its holder reports to the other entries.
type Load struct {
	Slice endive.SliceID
	Epoch endive.Epoch
	// Queued counts the tasks that wait for a worker, and Running counts the
	// tasks that may be running.
	Queued  int
	Running int
	// Free is the total free capacity of the workers that accept tasks.
	Free endive.Resources
}

// Load returns the current load of the slice.
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
