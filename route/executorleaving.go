package route

import "endiveroute.example/endive"

// ExecutorLeaving is the action that reports to the peers that an executor
// announced its departure in a response.
type ExecutorLeaving struct {
	Executor endive.ExecutorID
}

// IsAction marks ExecutorLeaving as an action.
func (ExecutorLeaving) IsAction() {}
