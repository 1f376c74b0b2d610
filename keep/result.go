package keep

import (
	"time"

	"endiveroute.example/endive"
)

// Result is the action that returns the result of a BeginRequest or a Lookup.
type Result struct {
	Tag     Tag
	Outcome endive.Outcome
	// Status and Body are the executor's response, set if Outcome is
	// endive.Answered.
	Status int
	Body   []byte
	// Pending is set, for endive.Unknown, if no outcome has been recorded yet.
	Pending bool
	// AttemptOnly is set, for endive.NotRun, if the outcome covers only this attempt.
	// An earlier request with the same key may have run, but the table could not be
	// read.
	AttemptOnly bool
	// Conflict is set if the key was used for a request with different content.
	// Outcome is then unset.
	Conflict bool
	// NotFound is set, for a Lookup, if nothing is recorded under the key. Outcome is
	// then unset.
	NotFound bool
	// Unavailable is set, for a Lookup, if the outcome could not be read from the
	// table or the object store. Outcome is then unset.
	Unavailable bool
	// RetryAt is when the client may retry; zero if a retry doesn't help.
	RetryAt time.Time
	Reason  string
}

// IsAction marks Result as an action.
func (Result) IsAction() {}
