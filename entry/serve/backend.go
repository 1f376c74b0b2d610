package serve

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Backend carries out what the handlers were asked for. Arguments have been
// validated and their defaults filled in. Each method is safe for concurrent
// use and returns soon after ctx is done.
//
// An error is an *apiv1.Error, which is passed on as it is, or is of one of the
// classes of package endive: ErrInvalid wraps endive.Findings, ErrConflict wraps
// apiv1.Conflicts, ErrNotFound, ErrUnavailable (nothing was done) or ErrUnknown
// (it may have been done). A done ctx counts as ErrUnknown. Anything else counts
// as an internal fault.
type Backend interface {
	Requests
	Tickets
	Jobs
	State
}

// Requests asks services.
type Requests interface {
	// Ask runs a request, or refuses it, before its deadline. A request without a
	// key to a service that is configured as non-idempotent is RefusalKeyless.
	Ask(ctx context.Context, request apiv1.Request) apiv1.Answer
	// Outcome looks up what is recorded under a key. A key that was never used is
	// ErrNotFound.
	Outcome(ctx context.Context, service endive.ServiceName, key endive.IdempotencyKey) (apiv1.RecordedOutcome, error)
}

// Tickets changes and shows the configuration.
type Tickets interface {
	// Apply writes a ticket and waits until it is in force on all live entries,
	// or until the deadline. After the deadline it returns TicketPending for a
	// ticket that is written, and ErrUnknown for one that may be.
	Apply(ctx context.Context, ticket endive.Ticket, deadline time.Time) (apiv1.TicketStatus, error)
	// Ticket says which entries have a ticket in force.
	Ticket(ctx context.Context, number endive.TicketNumber) (apiv1.TicketStatus, error)
	// Config returns the configuration that this entry has in force.
	Config(ctx context.Context) (apiv1.Config, error)
}

// Jobs takes, shows and cancels jobs.
type Jobs interface {
	// Submit records a job before it returns. A second job under the same team
	// and key is the first one, as long as it is equal; otherwise it is
	// ErrConflict. A job that no worker could ever hold is an *apiv1.Error with
	// CodeRefused.
	Submit(ctx context.Context, job endive.Job) (apiv1.JobStatus, error)
	// Job returns one job with its explanation.
	Job(ctx context.Context, id endive.JobID) (apiv1.JobStatus, error)
	// Jobs returns a page of at most query.Limit jobs.
	Jobs(ctx context.Context, query apiv1.JobQuery) (apiv1.JobList, error)
	// Cancel records a cancellation.
	Cancel(ctx context.Context, cancellation apiv1.Cancellation) (apiv1.Cancelled, error)
}

// State shows what this entry knows.
type State interface {
	Entries(ctx context.Context) (apiv1.EntryList, error)
	Instances(ctx context.Context) (apiv1.InstanceList, error)
	Workers(ctx context.Context) (apiv1.WorkerList, error)
	Slices(ctx context.Context) (apiv1.SliceList, error)
	Slots(ctx context.Context) (apiv1.SlotList, error)
}
