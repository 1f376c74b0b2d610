package flow

import (
	"time"

	"endiveroute.example/endive"
)

// LoadSnapshot requests the pool's rows and a subscription to later changes of the work
// table. The answer is a PoolSnapshot.
type LoadSnapshot struct{ Epoch endive.Epoch }

// PollWorker sends an order that renews the leases on a worker and requests a report of the
// running and ended runs there. The answer is a PollResult.
type PollWorker struct {
	Order endive.PollOrder
	// Poll identifies the poll; its results repeat it.
	Poll PollID
}

// StartRun sends an order to start a task. The answer is a StartResult.
type StartRun struct {
	Order endive.StartOrder
	// SendBy is the deadline for sending the order. If the process was suspended after
	// the decision, the order may be based on outdated state and must not be sent.
	SendBy time.Time
}

// StopRun sends an order to stop a run. The answer is a StopResult.
type StopRun struct{ Order endive.StopOrder }

// RequestAdvice sends a request to the advice service. The answer is an AdviceResult.
type RequestAdvice struct {
	Step    endive.StepID
	Workers []endive.WorkerID
	// Cost is the service's response time to this request.
	Cost endive.Interval
}

// Commit writes a transaction. The answer is an endive.Committed with the same write ID.
type Commit struct{ Transaction endive.Transaction }

// PublishState publishes the state of a workflow that clients may be shown from now on. A
// final state is published only after it has been recorded. An empty state means that
// the holder no longer keeps the workflow.
type PublishState struct {
	Job     endive.JobID
	Account endive.AccountName
	State   endive.WorkflowState
	// EndPending is true if the workflow has ended but that is not recorded yet.
	EndPending bool
}

// IsAction marks PublishState as an action.
func (PublishState) IsAction() {}

// HandOver sends the pool's next holder the rows that it would otherwise read from the
// store. The snapshot's epoch is that of the tenure that has ended.
type HandOver struct{ Snapshot PoolSnapshot }

// IsAction marks HandOver as an action.
func (HandOver) IsAction() {}

// Fenced reports that another entry holds the pool under a higher epoch, or that this tenure ends so that its holder
// or another begins a higher one.
type Fenced struct{ Epoch endive.Epoch }

// Decision writes one scheduling decision to the log.
type Decision struct {
	Kind   DecisionKind
	Job    endive.JobID
	Task   endive.TaskID
	Run    endive.RunNumber
	Worker endive.WorkerID
	// Outcome is what was decided. Reason has the inputs on which the decision is based.
	Outcome string
	Reason  string
	// Evidence is the kind of evidence behind the decision; empty where there is only one kind.
	Evidence Evidence
	// Crashes are those that count against the task, for decisions about crashes; else nil.
	Crashes *CrashCount
	// PreviousRun is the latest earlier run of a task that starts again, as far as it is known; else 0.
	PreviousRun endive.RunNumber
	// Contact is what is known of the worker of a run that is given up; else nil.
	Contact *Contact
}

// DecisionKind is what a Decision is about, such as the start of a run, the advice for a step
// or the holder's tenure of the pool. It is the kind of the line in the log.
type DecisionKind string

// The kinds of decisions.
const (
	DecisionJob    DecisionKind = "job"
	DecisionStart  DecisionKind = "start"
	DecisionEnd    DecisionKind = "end"
	DecisionStop   DecisionKind = "stop"
	DecisionWorker DecisionKind = "worker"
	DecisionTenure DecisionKind = "tenure"
	DecisionAdvice DecisionKind = "advice"
	DecisionRecord DecisionKind = "record"
	DecisionPool   DecisionKind = "pool"
	DecisionQuota  DecisionKind = "quota"
)

// IsAction marks LoadSnapshot as an action.
func (LoadSnapshot) IsAction() {}

// IsAction marks PollWorker as an action.
func (PollWorker) IsAction() {}

// IsAction marks StartRun as an action.
func (StartRun) IsAction() {}

// IsAction marks StopRun as an action.
func (StopRun) IsAction() {}

// IsAction marks RequestAdvice as an action.
func (RequestAdvice) IsAction() {}

// IsAction marks Commit as an action.
func (Commit) IsAction() {}

// IsAction marks Fenced as an action.
func (Fenced) IsAction() {}

// IsAction marks Decision as an action.
func (Decision) IsAction() {}
