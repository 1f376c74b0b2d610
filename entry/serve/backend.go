package serve

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Backend carries out the calls of the API. The handlers validate the arguments
// and fill in defaults before. Each method is safe for concurrent use and returns
// soon after ctx is done.
//
// An error is an *apiv1.Error, which is sent unchanged, or is of one of the
// classes of package endive: ErrInvalid wraps endive.Findings, ErrConflict wraps
// apiv1.Conflicts, ErrNotFound, ErrUnavailable (nothing was done) or ErrUnknown
// (it may have been done). The error of a done ctx is treated as ErrUnknown, and
// any other error as an internal error.
type Backend interface {
	Requests
	Tickets
	Jobs
	State
}

// Requests runs requests to services.
type Requests interface {
	// RunRequest runs or refuses a request before its deadline. It refuses a request
	// without a key to a service configured as non-idempotent with RefusalMissingKey.
	RunRequest(ctx context.Context, request apiv1.Request) apiv1.Answer
	// Outcome returns the recorded outcome of the request with a key. It returns
	// ErrNotFound for a key that was never used.
	Outcome(ctx context.Context, service endive.ServiceName, key endive.IdempotencyKey) (apiv1.RecordedOutcome, error)
}

// Tickets changes and shows the configuration.
type Tickets interface {
	// Apply writes a ticket and waits until it is in force on all live entries,
	// or until the deadline. After the deadline it returns TicketPending if the
	// ticket was written, and ErrUnknown if it may have been.
	Apply(ctx context.Context, ticket endive.Ticket, deadline time.Time) (apiv1.TicketStatus, error)
	// Ticket returns the entries that have a ticket in force and those that don't.
	Ticket(ctx context.Context, number endive.TicketNumber) (apiv1.TicketStatus, error)
	// Config returns the configuration in force on this entry.
	Config(ctx context.Context) (apiv1.Config, error)
}

// Jobs submits, lists and cancels jobs.
type Jobs interface {
	// Submit records a job before it returns. If a job with the same team and key
	// was submitted before, it returns that job if the two are equal, and
	// ErrConflict otherwise. It returns an *apiv1.Error with CodeRefused for a job
	// that fits on no worker.
	Submit(ctx context.Context, job endive.Job) (apiv1.JobStatus, error)
	// Job returns the status of one job, including why it waits.
	Job(ctx context.Context, id endive.JobID) (apiv1.JobStatus, error)
	// Jobs returns a page of at most query.Limit jobs.
	Jobs(ctx context.Context, query apiv1.JobQuery) (apiv1.JobList, error)
	// Cancel records a cancellation.
	Cancel(ctx context.Context, cancellation apiv1.Cancellation) (apiv1.Cancelled, error)
}

// State returns the state known to this entry.
type State interface {
	Entries(ctx context.Context) (apiv1.EntryList, error)
	Instances(ctx context.Context) (apiv1.InstanceList, error)
	Workers(ctx context.Context) (apiv1.WorkerList, error)
	Slices(ctx context.Context) (apiv1.SliceList, error)
	Slots(ctx context.Context) (apiv1.SlotList, error)
}
