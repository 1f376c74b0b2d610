package shell

import (
	"context"

	"endiveroute.example/endive"
	"endiveroute.example/endive/route"
)

// executorCall sends one attempt at a request to an executor.
type executorCall struct {
	shell  *Shell
	call   endive.Call
	cancel context.CancelFunc
	ctx    context.Context
}

func (e *executorCall) run() {
	defer e.cancel()
	reply := e.shell.executors.Call(e.ctx, e.call)
	e.shell.removeCall(e.call.Attempt)
	e.shell.route.send(route.AttemptResult{Attempt: e.call.Attempt, Reply: reply})
}
