package endive

// CommitStatus is the result of a transaction.
type CommitStatus string

// The statuses of a transaction.
const (
	// CommitApplied means that all rows were written.
	CommitApplied CommitStatus = "applied"
	// CommitConflict means that nothing was written because a condition failed.
	CommitConflict CommitStatus = "conflict"
	// CommitUnavailable means that nothing was written and nothing will be.
	CommitUnavailable CommitStatus = "unavailable"
	// CommitRejected means that the table rejected the transaction itself, for example
	// because a row is too large. Nothing was written, and it would be rejected again.
	CommitRejected CommitStatus = "rejected"
	// CommitUnknown means that the response was lost. The store client reads the
	// rows until it can determine the result, and then sends a second Committed with
	// one of the other statuses.
	CommitUnknown CommitStatus = "unknown"
)

// Commit is the action that writes a transaction. A Committed event with the same
// WriteID reports the result.
type Commit struct {
	Transaction Transaction
}

// IsAction marks Commit as an action.
func (Commit) IsAction() {}

// Committed is the event that reports the result of a transaction.
type Committed struct {
	WriteID WriteID
	Status  CommitStatus
	// Result is set if Status is CommitApplied.
	Result CommitResult
	// Conflicts are the rows whose conditions failed, if Status is CommitConflict.
	Conflicts []Row
}

// IsEvent marks Committed as an event.
func (Committed) IsEvent() {}
