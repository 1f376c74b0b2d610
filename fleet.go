package endive

import (
	"context"
	"time"
)

// FleetWorker is what a worker says of itself in the platform's list.
type FleetWorker struct {
	ID WorkerID
	// StartTime tells apart two incarnations that share an id.
	StartTime time.Time
	Pool      PoolName
	Address   Address
	Zone      Zone
	Capacity  Resources
	// Labels are the worker's kind and its rack.
	Labels   []Label
	Draining bool
	// LeavesIn is how long a draining worker stays at least; 0 if it didn't say.
	LeavesIn Interval
	// Machine names the hardware, which outlives the worker.
	Machine MachineID
}

// HasLabel reports whether the worker carries a label.
func (w FleetWorker) HasLabel(label Label) bool {
	for _, one := range w.Labels {
		if one == label {
			return true
		}
	}
	return false
}

// StartOrder asks a worker to start a task.
type StartOrder struct {
	Worker  WorkerRef
	Task    TaskID
	Run     RunNumber
	Payload string
	// LeaseEnd is when the task's lease ends, on the worker's clock.
	LeaseEnd WorkerTime
	Epoch    Epoch
	// Resume is the progress that the task goes on from; empty means from the
	// beginning.
	Resume Checkpoint
	Ticket AdviceTicket
}

// StopOrder asks a worker to end a run.
type StopOrder struct {
	Worker WorkerRef
	Task   TaskID
	Run    RunNumber
	Epoch  Epoch
}

// PaceOrder asks a worker to let a run work at a share of its full speed.
type PaceOrder struct {
	Worker  WorkerRef
	Task    TaskID
	Run     RunNumber
	Percent int
	Epoch   Epoch
}

// SyncOrder renews the leases of all that runs on a worker, acknowledges recorded
// ends, and asks what runs and what ended.
type SyncOrder struct {
	Worker WorkerRef
	// LeaseEnd is when all leases there end, on the worker's clock; 0 renews
	// nothing.
	LeaseEnd WorkerTime
	Epoch    Epoch
	// Recorded is the newest end of which, with all before it, the worker need not
	// tell again.
	Recorded EndNumber
	// Wait is how long the answer may wait for an end.
	Wait Interval
}

// WorkerRef says which incarnation of a worker an order is for.
type WorkerRef struct {
	ID      WorkerID
	Address Address
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndSucceeded EndKind = "succeeded"
	EndFailed    EndKind = "failed"
	EndStopped   EndKind = "stopped"
	// EndLeaseExpired means that the lease ran out.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang didn't come in time.
	EndGangIncomplete EndKind = "alone"
)

// RunReport is what a worker says of something that runs there.
type RunReport struct {
	Task       TaskID
	Run        RunNumber
	Checkpoint Checkpoint
	// Percent is how much of the work is done; 100 for a long-running task that is
	// at work.
	Percent int
	// TailLatency is the tail latency of a task that serves, over the last half second.
	TailLatency Interval
}

// EndReport is what a worker says of a run that ended there.
type EndReport struct {
	Number     EndNumber
	Task       TaskID
	Run        RunNumber
	Kind       EndKind
	Checkpoint Checkpoint
}

// SyncReport is the answer to a SyncOrder.
type SyncReport struct {
	Clock     WorkerTime
	StartTime time.Time
	Running   []RunReport
	Ended     []EndReport
	// More says that there are ends which this answer had no room for.
	More bool
}

// Refusal says why a worker didn't carry out an order.
type Refusal string

// The reasons of a refusal.
const (
	// RefusalNone means that the order was carried out.
	RefusalNone Refusal = ""
	// RefusalEpoch means that the worker has seen a higher epoch.
	RefusalEpoch Refusal = "epoch"
	// RefusalOldRun means that the run isn't higher than one that ended there.
	RefusalOldRun Refusal = "oldRun"
	// RefusalLeaseExpired means that the lease would have ended already.
	RefusalLeaseExpired Refusal = "late"
	// RefusalCapacity means that the worker has no room.
	RefusalCapacity Refusal = "room"
	// RefusalTicket means that the ticket is missing or no longer valid.
	RefusalTicket Refusal = "ticket"
	// RefusalIncarnation means that another incarnation runs at the address.
	RefusalIncarnation Refusal = "incarnation"
	// RefusalUnhealthy means that the worker did nothing, since it isn't healthy.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalInvalid means that the worker can't read the order.
	RefusalInvalid Refusal = "invalid"
	// RefusalUnknownRun means that nothing of that task and run is there.
	RefusalUnknownRun Refusal = "unknownRun"
)

// OrderAnswer is a worker's answer to an order.
type OrderAnswer struct {
	Refused Refusal
	// Clock is the worker's time of the answer; 0 where it told none.
	Clock WorkerTime
}

// Fleet gives orders to workers. An error of class ErrUnavailable means that the
// order never arrived, one of class ErrUnknown that it may be carried out, also
// later.
type Fleet interface {
	Start(ctx context.Context, order StartOrder) (OrderAnswer, error)
	Stop(ctx context.Context, order StopOrder) (OrderAnswer, error)
	Pace(ctx context.Context, order PaceOrder) (OrderAnswer, error)
	Sync(ctx context.Context, order SyncOrder) (SyncReport, OrderAnswer, error)
}

// AdviceGrant allows a step's tasks to start on a worker.
type AdviceGrant struct {
	Worker WorkerID     `json:"worker"`
	Ticket AdviceTicket `json:"ticket"`
}

// Advice is the answer of the advice service.
type Advice struct {
	Grants   []AdviceGrant
	Validity Interval
}

// Advisor knows which workers may run a step. It answers one question of a
// machine after the other. Its error is of class ErrUnavailable.
type Advisor interface {
	Advise(ctx context.Context, step StepID, workers []WorkerID) (Advice, error)
}
