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
	// LeaseEnd is when the lease of the pool ends.
	LeaseEnd time.Time
	// PreviousLeaseEnd is until when the last holder may go on starting work, if it was
	// replaced before its lease ran out.
	PreviousLeaseEnd time.Time
	// Forecasts are what earlier holders learned of the queues.
	Forecasts map[endive.QueueName]*Forecast
}

// TenureRenewed says until when the pool is held.
type TenureRenewed struct{ LeaseEnd time.Time }

// TenureEnded says that another entry holds the pool, or may.
type TenureEnded struct {
	// HandOver says that the lease was given up, and the next holder can be given what
	// is known.
	HandOver bool
}

// PoolSnapshot gives the pool's rows as they were when the tenure began.
type PoolSnapshot struct {
	Epoch endive.Epoch
	// Revision is the one up to which the rows of work are complete.
	Revision  endive.Revision
	WorkRows  []endive.Row
	StateRows []endive.Row
	Roster    []RosterWorker
	// EndedJobs are workflows that have ended and whose submissions are deleted. The feed may
	// tell of them once more.
	EndedJobs []endive.JobID
	// Advice is what the last holder knew of the workers that may run steps.
	Advice []ForwardedAdvice
}

// WorkChanged gives rows of the pool's table of work that were written.
type WorkChanged struct {
	Rows []endive.Row
	// Revision is the one up to which the rows are complete; 0 where the rows say
	// nothing of others.
	Revision endive.Revision
}

// WorkersListed gives all workers of the pool that are listed.
type WorkersListed struct{ Workers []endive.FleetWorker }

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

// PollResult is the answer to a PollWorker.
type PollResult struct {
	Worker endive.WorkerID
	Result OrderResult
	Report endive.PollReport
	Answer endive.OrderAnswer
}

// StartResult is the answer to a StartRun.
type StartResult struct {
	Worker endive.WorkerID
	Task   endive.TaskID
	Run    endive.RunNumber
	Result OrderResult
	Answer endive.OrderAnswer
}

// StopResult is the answer to a StopRun.
type StopResult struct {
	Worker endive.WorkerID
	Task   endive.TaskID
	Run    endive.RunNumber
	Result OrderResult
	Answer endive.OrderAnswer
}

// AdviceResult is the answer to a RequestAdvice.
type AdviceResult struct {
	Step    endive.StepID
	Workers []endive.WorkerID
	// Cost is that of the RequestAdvice.
	Cost   endive.Interval
	OK     bool
	Grants []endive.AdviceGrant
	Expiry time.Time
}

// ForwardedAdvice is an answer of the advice service that the entry got which accepted a
// workflow. It may come before the workflow itself.
type ForwardedAdvice struct {
	Step   endive.StepID
	Grants []endive.AdviceGrant
	// Ineligible are workers that were named in the question and aren't good.
	Ineligible []endive.WorkerID
	Expiry     time.Time
}

// EndedJobsLoaded gives workflows whose last states are kept in the store from before the
// tenure.
type EndedJobsLoaded struct {
	Epoch endive.Epoch
	Jobs  []endive.JobID
}

// IsEvent marks EndedJobsLoaded as an event.
func (EndedJobsLoaded) IsEvent() {}

// IsEvent marks ForwardedAdvice as an event.
func (ForwardedAdvice) IsEvent() {}

// AdviceClientsChanged says how many entries can ask the advice service at the same time.
type AdviceClientsChanged struct{ Count int }

// IsEvent marks AdviceClientsChanged as an event.
func (AdviceClientsChanged) IsEvent() {}

// IsEvent marks TenureBegan as an event.
func (TenureBegan) IsEvent() {}

// IsEvent marks TenureRenewed as an event.
func (TenureRenewed) IsEvent() {}

// IsEvent marks TenureEnded as an event.
func (TenureEnded) IsEvent() {}

// IsEvent marks PoolSnapshot as an event.
func (PoolSnapshot) IsEvent() {}

// IsEvent marks WorkChanged as an event.
func (WorkChanged) IsEvent() {}

// IsEvent marks WorkersListed as an event.
func (WorkersListed) IsEvent() {}

// IsEvent marks PollResult as an event.
func (PollResult) IsEvent() {}

// IsEvent marks StartResult as an event.
func (StartResult) IsEvent() {}

// IsEvent marks StopResult as an event.
func (StopResult) IsEvent() {}

// IsEvent marks AdviceResult as an event.
func (AdviceResult) IsEvent() {}
