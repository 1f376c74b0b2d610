package route

import "endiveroute.example/endive"

// ExecutorLeaving is the action of spreading that an executor announced its own
// departure in an answer.
type ExecutorLeaving struct {
	Executor endive.ExecutorID
}

// IsAction marks LeavingSeen as an action.
func (ExecutorLeaving) IsAction() {}
