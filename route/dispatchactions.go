package route

import "endiveroute.example/endive"

// Dispatch is the action that starts one attempt. It is followed by one
// AttemptResult.
type Dispatch struct {
	Call endive.Call
}

// IsAction marks Dispatch as an action.
func (Dispatch) IsAction() {}

// CancelCall is the action that cancels an attempt without a result some time
// after its deadline.
type CancelCall struct {
	Attempt endive.AttemptID
}

// IsAction marks CancelCall as an action.
func (CancelCall) IsAction() {}
