package cell

import (
	"endiveroute.example/endive"
)

// submit submits a workflow with one or two steps to an entry.
func (r *testCluster) submit(c *Cell, path, id string, tasks int, twoSteps bool) endive.SubmitResult {
	r.t.Helper()
	step := endive.Step{Tasks: tasks, Need: endive.Resources{Processors: 1000}, Estimate: endive.Interval(r.taskDuration)}
	workflow := endive.Workflow{ID: endive.JobID(id), Payload: "x", Steps: []endive.Step{step}}
	if twoSteps {
		step.After = []int{0}
		workflow.Steps = append(workflow.Steps, step)
	}
	return c.Submit(r.t.Context(), c.Match("a.example", path+id, r.key), workflow)
}

// submitAccepted submits a workflow until it is accepted. Like a client it retries after a
// refusal, since an entry may refuse while a store call is slow, as on a busy machine.
func (r *testCluster) submitAccepted(c *Cell, path, id string, tasks int, twoSteps bool) {
	r.t.Helper()
	r.waitFor("a workflow is accepted", func() bool {
		result := r.submit(c, path, id, tasks, twoSteps)
		if result.Status == endive.SubmitUnknown {
			r.t.Fatalf("submission of %s is unconfirmed: %s", id, result.Reason)
		}
		return result.Status == endive.SubmitAccepted
	})
}

// state returns the state of a workflow as reported by an entry, or the text of the error.
func (r *testCluster) state(c *Cell, path, id string) endive.WorkflowState {
	match := c.Match("a.example", path, r.key)
	state, err := c.State(r.t.Context(), match.Queue, match.Caller, endive.JobID(id))
	if err != nil {
		return endive.WorkflowState(err.Error())
	}
	return state
}
