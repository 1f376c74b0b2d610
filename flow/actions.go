package flow

import (
	"time"

	"endiveroute.example/endive"
)

// Load asks for the pool's rows, and to follow the table of work from then on. It
// is answered by Loaded.
type Load struct{ Epoch endive.Epoch }

// Hold sends an order to renew leases and to look. It is answered by Held.
type Hold struct{ Order endive.PollOrder }

// Start sends an order to start a task. It is answered by Started.
type Start struct {
	Order endive.StartOrder
	// SendBy is when the order must have been sent. A process that stood still between
	// the decision and the sending would act on what isn't so any more.
	SendBy time.Time
}

// Stop sends an order to stop a run. It is answered by Stopped.
type Stop struct{ Order endive.StopOrder }

// Ask asks the advice service. It is answered by Advised.
type Ask struct {
	Step    endive.StepID
	Workers []endive.WorkerID
	// Cost is how long the answer takes.
	Cost endive.Interval
}

// Record writes a transaction. It is answered by endive.Committed with the same
// write id.
type Record struct{ Transaction endive.Transaction }

// Told says what callers may be told of a workflow from now on: an end only once it is
// recorded. An empty state says that it isn't known here any more.
type Told struct {
	Job   endive.JobID
	State endive.WorkflowState
	// Ending says that the workflow has ended, and only the record of that is missing.
	Ending bool
}

// IsAction marks Told as an action.
func (Told) IsAction() {}

// HandOver gives what the pool's next holder would read in the store. Epoch is that of
// the tenure which has ended.
type HandOver struct{ State Loaded }

// IsAction marks HandOver as an action.
func (HandOver) IsAction() {}

// Fenced says that another entry holds the pool with a higher epoch.
type Fenced struct{ Epoch endive.Epoch }

// Note is one decision for the log.
type Note struct {
	Kind   NoteKind
	Job    endive.JobID
	Task   endive.TaskID
	Run    endive.RunNumber
	Worker endive.WorkerID
	// Outcome is what was decided, Reason the inputs that decided it.
	Outcome string
	Reason  string
}

// NoteKind says what a Note is about.
type NoteKind string

// The kinds of notes.
const (
	NoteJob    NoteKind = "job"
	NoteStart  NoteKind = "start"
	NoteEnd    NoteKind = "end"
	NoteStop   NoteKind = "stop"
	NoteWorker NoteKind = "worker"
	NoteTenure NoteKind = "tenure"
	NoteAdvice NoteKind = "advice"
	NoteRecord NoteKind = "record"
	NotePool   NoteKind = "pool"
)

// IsAction marks Load as an action.
func (Load) IsAction() {}

// IsAction marks Hold as an action.
func (Hold) IsAction() {}

// IsAction marks Start as an action.
func (Start) IsAction() {}

// IsAction marks Stop as an action.
func (Stop) IsAction() {}

// IsAction marks Ask as an action.
func (Ask) IsAction() {}

// IsAction marks Record as an action.
func (Record) IsAction() {}

// IsAction marks Fenced as an action.
func (Fenced) IsAction() {}

// IsAction marks Note as an action.
func (Note) IsAction() {}
