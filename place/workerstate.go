package place

import "endiveroute.example/endive"

// WorkerState is the holder's view of a worker, for operators.
type WorkerState struct {
	Worker endive.WorkerID
	// Committed is the sum of the attempts' needs. An attempt counts until it
	// has certainly ended.
	Committed endive.Resources
	Tasks     int
	// UnusableReason is why the worker gets no new tasks; it is empty if the
	// worker gets new tasks.
	UnusableReason string
}

// WorkerStates returns the state of each worker of the slice, sorted by id.
func (m *Machine) WorkerStates() []WorkerState {
	states := make([]WorkerState, 0, len(m.workers.list))
	for _, w := range m.workers.list {
		states = append(states, WorkerState{
			Worker: w.id, Committed: w.used, Tasks: len(w.attempts), UnusableReason: m.unusableReason(w),
		})
	}
	return states
}

// unusableReason returns why the worker gets no new tasks, or "" if the worker
// gets new tasks.
func (m *Machine) unusableReason(w *worker) string {
	switch {
	case w.acceptsTasks(m.now):
		return ""
	case w.drained:
		return "drained by a ticket"
	case w.state != endive.MemberLive:
		return string(w.state)
	case w.superseded:
		return "the worker has seen a newer holder"
	case !w.responsive:
		return "doesn't answer"
	case !w.inRoster:
		return "the worker is not recorded in the roster yet"
	}
	return "different jobs failed in a row"
}
