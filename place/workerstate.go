package place

import "endiveroute.example/endive"

// WorkerState is what the holder of a slice knows of a worker, for operators.
type WorkerState struct {
	Worker endive.WorkerID
	// Committed is what tasks take, those of unconfirmed end included.
	Committed endive.Resources
	Tasks     int
	// UnusableReason says why the worker gets no tasks; empty if it does.
	UnusableReason string
}

// WorkerStates returns the state of each worker of the slice, in the order of
// their ids.
func (m *Machine) WorkerStates() []WorkerState {
	states := make([]WorkerState, 0, len(m.workers.list))
	for _, w := range m.workers.list {
		states = append(states, WorkerState{
			Worker: w.id, Committed: w.used, Tasks: len(w.attempts), UnusableReason: m.unusableReason(w),
		})
	}
	return states
}

// unusableReason says why a worker gets no new tasks; empty if it does.
func (m *Machine) unusableReason(w *worker) string {
	switch {
	case w.acceptsTasks(m.now):
		return ""
	case w.drained:
		return "drained by a ticket"
	case w.state != endive.MemberLive:
		return string(w.state)
	case w.superseded:
		return "has seen a newer holder"
	case !w.responsive:
		return "doesn't answer"
	case !w.inRoster:
		return "not on the roster yet"
	}
	return "unlike tasks failed in a row"
}
