package flow

import (
	"time"

	"endiveroute.example/endive"
)

// LoadSnapshot asks for the pool's rows, and to follow the table of work from then on. It
// is answered by PoolSnapshot.
type LoadSnapshot struct{ Epoch endive.Epoch }

// PollWorker sends an order to renew leases and to look. It is answered by PollResult.
type PollWorker struct{ Order endive.PollOrder }

// StartRun sends an order to start a task. It is answered by StartResult.
type StartRun struct {
	Order endive.StartOrder
	// SendBy is when the order must have been sent. A process that stood still between
	// the decision and the sending would act on what isn't so any more.
	SendBy time.Time
}

// StopRun sends an order to stop a run. It is answered by StopResult.
type StopRun struct{ Order endive.StopOrder }

// RequestAdvice asks the advice service. It is answered by AdviceResult.
type RequestAdvice struct {
	Step    endive.StepID
	Workers []endive.WorkerID
	// Cost is how long the answer takes.
	Cost endive.Interval
}

// Commit writes a transaction. It is answered by endive.Committed with the same
// write id.
type Commit struct{ Transaction endive.Transaction }

// PublishState says what callers may be told of a workflow from now on: an end only once it is
// recorded. An empty state says that it isn't known here any more.
type PublishState struct {
	Job   endive.JobID
	State endive.WorkflowState
	// EndPending says that the workflow has ended, and only the record of that is missing.
	EndPending bool
}

// IsAction marks PublishState as an action.
func (PublishState) IsAction() {}

// HandOver gives what the pool's next holder would read in the store. Epoch is that of
// the tenure which has ended.
type HandOver struct{ Snapshot PoolSnapshot }

// IsAction marks HandOver as an action.
func (HandOver) IsAction() {}

// Fenced says that another entry holds the pool with a higher epoch.
type Fenced struct{ Epoch endive.Epoch }

// Decision is one decision for the log.
type Decision struct {
	Kind   DecisionKind
	Job    endive.JobID
	Task   endive.TaskID
	Run    endive.RunNumber
	Worker endive.WorkerID
	// Outcome is what was decided, Reason the inputs that decided it.
	Outcome string
	Reason  string
}

// DecisionKind says what a Decision is about.
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
