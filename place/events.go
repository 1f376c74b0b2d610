package place

import "endiveroute.example/endive"

// Tag is chosen by the sender of an event and comes back in the answer.
type Tag uint64

// CommandResult is the event of the answer to a Command.
type CommandResult struct {
	Worker endive.WorkerID
	// Epoch and Sequence are those of the command.
	Epoch    endive.Epoch
	Sequence uint64
	// Unavailable says that the worker didn't get the command, and never will.
	Unavailable bool
	// Unknown says that the worker may have got it.
	Unknown bool
	// Report is set where neither is.
	Report endive.WorkerReport
}

// IsEvent marks Reported as an event.
func (CommandResult) IsEvent() {}

// RowsChanged is the event of a JobNotice or CancelNotice for the slice: there is
// something new to scan.
type RowsChanged struct{}

// IsEvent marks Noticed as an event.
func (RowsChanged) IsEvent() {}

// ExplainJob is the event of an operator who asks about a job.
type ExplainJob struct {
	Tag Tag
	Job endive.JobID
}

// IsEvent marks Explain as an event.
func (ExplainJob) IsEvent() {}

// ListJobs is the event of an operator who asks for all jobs of the slice.
type ListJobs struct {
	Tag Tag
	// Limit bounds the answer; 0 means no bound.
	Limit int
}

// IsEvent marks List as an event.
func (ListJobs) IsEvent() {}

// HandOver is the event of a planned stop: the machine starts nothing new and
// answers Released as soon as nothing of it is in flight.
type HandOver struct{}

// IsEvent marks HandOver as an event.
func (HandOver) IsEvent() {}
