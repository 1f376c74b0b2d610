package place

import (
	"time"

	"endiveroute.example/endive"
)

// Command is the action of sending a command to a worker. The sender answers it
// with a CommandResult of the same epoch and sequence.
type Command struct {
	Worker  endive.WorkerID
	Address endive.Address
	// Deadline is when the sender must stop trying. A command that is delivered
	// later would break the lease ends that the machine computes, and so let a task
	// run on two workers at once.
	Deadline time.Time
	Command  endive.WorkerCommand
}

// IsAction marks Command as an action.
func (Command) IsAction() {}

// Explanation is the action of answering ExplainJob.
type Explanation struct {
	Tag Tag
	// Found is false if the slice has no such job. The job may have ended.
	Found  bool
	Status endive.JobStatus
}

// IsAction marks Explanation as an action.
func (Explanation) IsAction() {}

// Listing is the action of answering ListJobs.
type Listing struct {
	Tag  Tag
	Jobs []endive.JobStatus
	// More is set if Limit cut the list short.
	More bool
}

// IsAction marks Listing as an action.
func (Listing) IsAction() {}

// Released is the action of answering HandOver. No command or transaction is in
// flight any more, so the slice's lease can be handed over at once. Without
// Released, the lease must be left to expire.
type Released struct {
	Slice endive.SliceID
}

// IsAction marks Released as an action.
func (Released) IsAction() {}
