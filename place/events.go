package place

import "endiveroute.example/endive"

// Tag is an identifier that the sender of an event chooses. The answer carries
// it.
type Tag uint64

// CommandResult is the event of the result of a Command.
type CommandResult struct {
	Worker endive.WorkerID
	// Epoch and Sequence are those of the command.
	Epoch    endive.Epoch
	Sequence uint64
	// Unavailable is set if the command was certainly not delivered and never will
	// be.
	Unavailable bool
	// Unknown is set if the command may have been delivered, but no answer came.
	Unknown bool
	// Report is set if neither Unavailable nor Unknown is.
	Report endive.WorkerReport
}

// IsEvent marks CommandResult as an event.
func (CommandResult) IsEvent() {}

// RowsChanged is the event of a JobNotice or CancelNotice for the slice: the
// table has new rows to scan.
type RowsChanged struct{}

// IsEvent marks RowsChanged as an event.
func (RowsChanged) IsEvent() {}

// ExplainJob is the event of an operator's request for the state of a job.
type ExplainJob struct {
	Tag Tag
	Job endive.JobID
}

// IsEvent marks ExplainJob as an event.
func (ExplainJob) IsEvent() {}

// ListJobs is the event of an operator's request for all jobs of the slice.
type ListJobs struct {
	Tag Tag
	// Limit is the maximum number of jobs in the answer; 0 means no limit.
	Limit int
}

// IsEvent marks ListJobs as an event.
func (ListJobs) IsEvent() {}

// HandOver is the event of a planned stop. The machine starts no more tasks,
// and answers Released once it has no command or transaction in flight.
type HandOver struct{}

// IsEvent marks HandOver as an event.
func (HandOver) IsEvent() {}
