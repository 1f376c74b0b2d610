package flow

import (
	"time"

	"endiveroute.example/endive"
)

// TenureBegan reports that this entry has acquired the pool. The fence row was written
// with the epoch in the same transaction.
type TenureBegan struct {
	Epoch        endive.Epoch
	FenceVersion endive.Version
	// LeaseEnd is when the lease of the pool expires.
	LeaseEnd time.Time
	// PreviousLeaseEnd is when the lease of the previous holder expires, if that holder
	// was replaced earlier. It may start tasks until then.
	PreviousLeaseEnd time.Time
	// Forecasts are the run time forecasts that earlier holders stored for each queue.
	Forecasts map[endive.QueueName]*Forecast
}

// TenureRenewed reports the new end of the pool's lease.
type TenureRenewed struct{ LeaseEnd time.Time }

// TenureEnded reports that another entry holds the pool or may have acquired it.
type TenureEnded struct {
	// HandOver is true if this entry released the lease, so that it can send its state to
	// the next holder.
	HandOver bool
}

// PoolSnapshot contains the pool's rows as of the beginning of the tenure.
type PoolSnapshot struct {
	Epoch endive.Epoch
	// Revision is the revision up to which WorkRows is complete.
	Revision  endive.Revision
	WorkRows  []endive.Row
	StateRows []endive.Row
	Roster    []RosterWorker
	// EndedJobs are workflows that have ended and whose submissions are deleted. The
	// change feed may deliver their rows once more.
	EndedJobs []endive.JobID
	// QuotaParts are the parts of the accounts' caps that the previous holder handed over; nil
	// if it didn't.
	QuotaParts map[endive.AccountName]endive.Resources
	// Advice is the advice that the previous holder had for steps.
	Advice []ForwardedAdvice
}

// WorkChanged contains newly written rows of the pool's work table.
type WorkChanged struct {
	// Epoch is that of the tenure in which the rows were read.
	Epoch endive.Epoch
	Rows  []endive.Row
	// Revision is the revision up to which the rows are complete; 0 if other rows may be
	// missing.
	Revision endive.Revision
	// ReadAt is a time such that the machine now knows all rows that were written before it; zero if
	// some may be missing.
	ReadAt time.Time
}

// WorkflowStored is the notice of a submission that an entry has stored, ahead of the feed. It may be late.
type WorkflowStored struct{ Row endive.Row }

// IsEvent marks WorkflowStored as an event.
func (WorkflowStored) IsEvent() {}

// WorkersListed contains all workers of the pool that the platform lists.
type WorkersListed struct {
	Workers []endive.FleetWorker
	// StartsUntil is until when tasks may be started by this list, since the workers may have
	// shrunk since it was read; zero for no limit.
	StartsUntil time.Time
}

// WorkersConfirmed reports that the list of workers was read again and hasn't changed.
type WorkersConfirmed struct{ StartsUntil time.Time }

// IsEvent marks WorkersConfirmed as an event.
func (WorkersConfirmed) IsEvent() {}

// WorkersHeard reports which workers have renewed their registrations at the platform since the
// list of workers was read before.
type WorkersHeard struct {
	Workers []endive.WorkerID
	// Since is when that reading began: the renewals are newer.
	Since time.Time
}

// IsEvent marks WorkersHeard as an event.
func (WorkersHeard) IsEvent() {}

// OrderResult is the result of sending an order to a worker.
type OrderResult string

// The results of an order.
const (
	// OrderAnswered means that the worker has answered the order.
	OrderAnswered OrderResult = "answered"
	// OrderNotSent means that the order has not reached the worker and never will.
	OrderNotSent OrderResult = "notSent"
	// OrderRefused means that the order has not reached the worker because nothing
	// listens at the worker's address.
	OrderRefused OrderResult = "refused"
	// OrderUnknown means that the worker may carry out the order now or later.
	OrderUnknown OrderResult = "unknown"
)

// PollID identifies a poll of a worker: it is the step of the machine in which the poll was sent.
type PollID uint64

// PollResult is the answer to a PollWorker. A poll that isn't answered in time has two results: the
// first is OrderUnknown, the second is what came of it later.
type PollResult struct {
	Worker endive.WorkerID
	Poll   PollID
	Result OrderResult
	// Overdue is true if the call goes on: another result follows.
	Overdue bool
	// Failure says for the log what failed; empty if the poll was answered.
	Failure string
	Report  endive.PollReport
	Answer  endive.OrderAnswer
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
	// Cost repeats the Cost of the RequestAdvice, so that it no longer counts as in flight.
	Cost   endive.Interval
	OK     bool
	Grants []endive.AdviceGrant
	Expiry time.Time
}

// ForwardedAdvice is an answer of the advice service to the entry that accepted a
// workflow. It may arrive before the workflow itself.
type ForwardedAdvice struct {
	Step   endive.StepID
	Grants []endive.AdviceGrant
	// Ineligible are the workers of the request that may not run the step.
	Ineligible []endive.WorkerID
	Expiry     time.Time
}

// EndedJobsLoaded lists workflows that ended before the tenure and whose final states are
// still in the store.
type EndedJobsLoaded struct {
	Epoch endive.Epoch
	Jobs  []endive.JobID
}

// IsEvent marks EndedJobsLoaded as an event.
func (EndedJobsLoaded) IsEvent() {}

// IsEvent marks ForwardedAdvice as an event.
func (ForwardedAdvice) IsEvent() {}

// AdviceClientsChanged reports how many entries can send requests to the advice service
// at the same time.
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
