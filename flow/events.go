package flow

import (
	"time"

	"endiveroute.example/endive"
)

// TenureBegan says that this entry took the pool over. The fence row was written
// with the epoch in the same transaction.
type TenureBegan struct {
	Epoch        endive.Epoch
	FenceVersion endive.Version
	// Until is when the lease of the pool ends.
	Until time.Time
	// LastUntil is until when the last holder may go on starting work, if it was
	// replaced before its lease ran out.
	LastUntil time.Time
	// Forecasts are what earlier holders learned of the queues.
	Forecasts map[endive.QueueName]*Forecast
}

// TenureRenewed says until when the pool is held.
type TenureRenewed struct{ Until time.Time }

// TenureEnded says that another entry holds the pool, or may.
type TenureEnded struct {
	// HandOver says that the lease was given up, and the next holder can be given what
	// is known.
	HandOver bool
}

// Loaded gives the pool's rows as they were when the tenure began.
type Loaded struct {
	Epoch endive.Epoch
	// Revision is the one up to which the rows of work are complete.
	Revision endive.Revision
	Work     []endive.Row
	States   []endive.Row
	Roster   []RosterWorker
	// Ended are workflows that have ended and whose submissions are deleted. The feed may
	// tell of them once more.
	Ended []endive.JobID
	// Advice is what the last holder knew of the workers that may run steps.
	Advice []AdviceNoted
}

// WorkChanged gives rows of the pool's table of work that were written.
type WorkChanged struct {
	Rows []endive.Row
	// Revision is the one up to which the rows are complete; 0 where the rows say
	// nothing of others.
	Revision endive.Revision
}

// WorkersSeen gives all workers of the pool that are listed.
type WorkersSeen struct{ Workers []endive.FleetWorker }

// OrderResult says what became of an order.
type OrderResult string

// The results of an order.
const (
	// OrderAnswered means that there is an answer.
	OrderAnswered OrderResult = "answered"
	// OrderNotSent means that the order never arrived and never will.
	OrderNotSent OrderResult = "notSent"
	// OrderRefused means the same, since nothing listens at the worker's address.
	OrderRefused OrderResult = "refused"
	// OrderUnknown means that the order may be carried out, also later.
	OrderUnknown OrderResult = "unknown"
)

// Held is the answer to a Hold.
type Held struct {
	Worker endive.WorkerID
	Result OrderResult
	Report endive.PollReport
	Answer endive.OrderAnswer
}

// Started is the answer to a Start.
type Started struct {
	Worker endive.WorkerID
	Task   endive.TaskID
	Run    endive.RunNumber
	Result OrderResult
	Answer endive.OrderAnswer
}

// Stopped is the answer to a Stop.
type Stopped struct {
	Worker endive.WorkerID
	Task   endive.TaskID
	Run    endive.RunNumber
	Result OrderResult
	Answer endive.OrderAnswer
}

// Advised is the answer to an Ask.
type Advised struct {
	Step  endive.StepID
	Asked []endive.WorkerID
	// Cost is that of the Ask.
	Cost   endive.Interval
	OK     bool
	Good   []endive.AdviceGrant
	Expiry time.Time
}

// AdviceNoted is an answer of the advice service that the entry got which accepted a
// workflow. It may come before the workflow itself.
type AdviceNoted struct {
	Step endive.StepID
	Good []endive.AdviceGrant
	// Bad are workers that were named in the question and aren't good.
	Bad    []endive.WorkerID
	Expiry time.Time
}

// EndedFound gives workflows whose last states are kept in the store from before the
// tenure.
type EndedFound struct {
	Epoch endive.Epoch
	Jobs  []endive.JobID
}

// IsEvent marks EndedFound as an event.
func (EndedFound) IsEvent() {}

// IsEvent marks AdviceNoted as an event.
func (AdviceNoted) IsEvent() {}

// HelpersChanged says how many entries can ask the advice service at the same time.
type HelpersChanged struct{ Count int }

// IsEvent marks HelpersChanged as an event.
func (HelpersChanged) IsEvent() {}

// IsEvent marks TenureBegan as an event.
func (TenureBegan) IsEvent() {}

// IsEvent marks TenureRenewed as an event.
func (TenureRenewed) IsEvent() {}

// IsEvent marks TenureEnded as an event.
func (TenureEnded) IsEvent() {}

// IsEvent marks Loaded as an event.
func (Loaded) IsEvent() {}

// IsEvent marks WorkChanged as an event.
func (WorkChanged) IsEvent() {}

// IsEvent marks WorkersSeen as an event.
func (WorkersSeen) IsEvent() {}

// IsEvent marks Held as an event.
func (Held) IsEvent() {}

// IsEvent marks Started as an event.
func (Started) IsEvent() {}

// IsEvent marks Stopped as an event.
func (Stopped) IsEvent() {}

// IsEvent marks Advised as an event.
func (Advised) IsEvent() {}
