package endive

import (
	"context"
	"time"
)

// FleetWorker is a worker's registration in the platform's list of workers.
type FleetWorker struct {
	ID WorkerID
	// StartTime is when the worker process started. It distinguishes two incarnations
	// with the same id.
	StartTime time.Time
	Pool      PoolName
	Address   Address
	Zone      Zone
	Capacity  Resources
	// Labels are the labels for the worker's kind and its rack.
	Labels   []Label
	Draining bool
	// Unconfirmed is true if the registration may be from before an outage of the platform's
	// store, so that the capacity may have shrunk since.
	Unconfirmed bool
	// LeavesIn is the minimum time until a draining worker shuts down; 0 if it didn't
	// announce one.
	LeavesIn Interval
	// Machine identifies the hardware, on which other workers may run later.
	Machine MachineID
}

// HasLabel reports whether a label is among the worker's Labels.
func (w FleetWorker) HasLabel(label Label) bool {
	for _, candidate := range w.Labels {
		if candidate == label {
			return true
		}
	}
	return false
}

// StartOrder is the order to a worker to start a task.
type StartOrder struct {
	Worker  WorkerRef
	Task    TaskID
	Run     RunNumber
	Payload string
	// LeaseEnd is when the task's lease expires, on the worker's clock.
	LeaseEnd WorkerTime
	Epoch    Epoch
	// Resume is the checkpoint from which the task continues; if it is empty, the
	// task starts from the beginning.
	Resume Checkpoint
	Ticket AdviceTicket
}

// StopOrder is the order to a worker to stop a run.
type StopOrder struct {
	Worker WorkerRef
	Task   TaskID
	Run    RunNumber
	Epoch  Epoch
}

// PaceOrder is the order to a worker to throttle a run to a percentage of its full speed.
type PaceOrder struct {
	Worker  WorkerRef
	Task    TaskID
	Run     RunNumber
	Percent int
	Epoch   Epoch
}

// PollOrder renews the leases of all runs on a worker, acknowledges reports of ended
// runs that have been stored, and requests a report of the running and ended runs.
type PollOrder struct {
	Worker WorkerRef
	// LeaseEnd is the new expiry of all leases on the worker, by the worker's clock; 0
	// renews no lease.
	LeaseEnd WorkerTime
	Epoch    Epoch
	// Recorded acknowledges the ends of all runs up to this number: the worker need not
	// report them again.
	Recorded EndNumber
	// Wait is how long the worker may delay its response until a run ends.
	Wait Interval
}

// WorkerRef identifies the incarnation of a worker that an order is addressed to.
type WorkerRef struct {
	ID      WorkerID
	Address Address
}

// EndKind is the kind of a run's end: success, or the cause of another end.
type EndKind string

// The kinds of ends of runs.
const (
	EndSucceeded EndKind = "succeeded"
	EndFailed    EndKind = "failed"
	EndStopped   EndKind = "stopped"
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another task of the same gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other tasks of the gang didn't start in time.
	EndGangIncomplete EndKind = "alone"
)

// RunReport is a worker's report of a run in progress.
type RunReport struct {
	Task       TaskID
	Run        RunNumber
	Checkpoint Checkpoint
	// Percent is how much of the work is done; 100 for a long-running task that is
	// running.
	Percent int
	// TailLatency is the tail latency of a task that serves user requests, over the
	// last half second.
	TailLatency Interval
}

// EndReport is a worker's report of a run that has ended on it.
type EndReport struct {
	Number     EndNumber
	Task       TaskID
	Run        RunNumber
	Kind       EndKind
	Checkpoint Checkpoint
}

// PollReport is the response to a PollOrder.
type PollReport struct {
	Clock     WorkerTime
	StartTime time.Time
	Running   []RunReport
	Ended     []EndReport
	// More is true if there are further ended runs that didn't fit into this response.
	More bool
}

// Refusal is the reason why a worker refused an order.
type Refusal string

// The reasons of a refusal.
const (
	// RefusalNone means that the worker executed the order.
	RefusalNone Refusal = ""
	// RefusalEpoch means that the worker has received an order with a higher epoch.
	RefusalEpoch Refusal = "epoch"
	// RefusalOldRun means that the run number isn't higher than that of a run of the
	// same task that has ended on the worker.
	RefusalOldRun Refusal = "oldRun"
	// RefusalLeaseExpired means that the lease in the order has already expired.
	RefusalLeaseExpired Refusal = "late"
	// RefusalCapacity means that the worker lacks the capacity.
	RefusalCapacity Refusal = "room"
	// RefusalTicket means that the ticket is missing or no longer valid.
	RefusalTicket Refusal = "ticket"
	// RefusalIncarnation means that another incarnation runs at the address.
	RefusalIncarnation Refusal = "incarnation"
	// RefusalUnhealthy means that the worker ignored the order because it is
	// unhealthy.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalInvalid means that the worker couldn't parse the order.
	RefusalInvalid Refusal = "invalid"
	// RefusalUnknownRun means that the worker doesn't have that run of the task.
	RefusalUnknownRun Refusal = "unknownRun"
)

// OrderAnswer is a worker's response to an order.
type OrderAnswer struct {
	Refused Refusal
	// Clock is the worker's time of the response; 0 if it sent none.
	Clock WorkerTime
}

// Fleet sends orders to workers. An error of class ErrUnavailable means that the
// worker never received the order. An error of class ErrUnknown means that the worker
// may have executed the order, or may still execute it.
type Fleet interface {
	Start(ctx context.Context, order StartOrder) (OrderAnswer, error)
	Stop(ctx context.Context, order StopOrder) (OrderAnswer, error)
	Pace(ctx context.Context, order PaceOrder) (OrderAnswer, error)
	Poll(ctx context.Context, order PollOrder) (PollReport, OrderAnswer, error)
}

// AdviceGrant permits the tasks of a step to start on a worker.
type AdviceGrant struct {
	Worker WorkerID     `json:"worker"`
	Ticket AdviceTicket `json:"ticket"`
}

// Advice is a response of the advice service.
type Advice struct {
	Grants   []AdviceGrant
	Validity Interval
}

// Advisor determines which workers may run a step. It processes the requests of one
// machine sequentially. Errors are of class ErrUnavailable.
type Advisor interface {
	Advise(ctx context.Context, step StepID, workers []WorkerID) (Advice, error)
}
