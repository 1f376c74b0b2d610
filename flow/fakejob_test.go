package flow

import (
	"time"

	"endiveroute.example/endive"
)

// fakeJob is a submission with the settings of its simulation.
type fakeJob struct {
	workflow    endive.Workflow
	policy      endive.Queue
	account     endive.AccountName
	cancelledAt time.Time
	// durationFactor is the ratio of the tasks' run times to their estimates; 0 counts as 1.
	durationFactor float64
	// lapses is true if the lease of each run expires soon after its start.
	lapses bool
	// longRunningEnd is how each run of a long-running task ends soon after its start; empty if it
	// doesn't.
	longRunningEnd endive.EndKind
	// deadly is the id of the task that crashes each worker that starts it; empty for none.
	deadly endive.TaskID
	// allDeadly is true if each task crashes its worker.
	allDeadly bool
	// deadlyAfter is how long after its start such a task crashes the worker; 0 for 10 ms.
	deadlyAfter time.Duration
}

// submitScheduled stores a submission with a schedule and returns its id.
func (w *simulation) submitScheduled(id string, policy endive.Queue, schedule endive.Schedule, steps ...endive.Step) endive.JobID {
	workflow := endive.Workflow{ID: endive.JobID(id), Queue: policy.Name, Steps: steps, Schedule: schedule}
	w.jobs[workflow.ID] = &fakeJob{workflow: workflow, policy: policy}
	w.put(JobKey(testPool, workflow.ID), endive.Submission{Workflow: workflow, Policy: policy, Accepted: simulationClock{w.start}.AtLeast(w.now)})
	return workflow.ID
}

// submitFor stores a submission of an account and returns its id.
func (w *simulation) submitFor(account endive.AccountName, id string, policy endive.Queue, steps ...endive.Step) endive.JobID {
	workflow := endive.Workflow{ID: endive.JobID(id), Queue: policy.Name, Steps: steps}
	w.jobs[workflow.ID] = &fakeJob{workflow: workflow, policy: policy, account: account}
	w.put(JobKey(testPool, workflow.ID), endive.Submission{
		Workflow: workflow, Policy: policy, Account: account, Accepted: simulationClock{w.start}.AtLeast(w.now), Advised: w.forwardsAdvice,
	})
	return workflow.ID
}
