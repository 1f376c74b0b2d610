package keep

import (
	"time"

	"endiveroute.example/endive"
)

// Result is the action of answering a Begin or a Lookup.
type Result struct {
	Tag     Tag
	Outcome endive.Outcome
	// Status and Body are the executor's, for endive.Answered.
	Status int
	Body   []byte
	// Pending says, for endive.Unknown, that the outcome isn't recorded yet.
	Pending bool
	// AttemptOnly says, for endive.NotRun, that it is about this attempt alone:
	// whether an earlier request ran under the key couldn't be read.
	AttemptOnly bool
	// Conflict says that the key was used for a request with other content.
	// There is no outcome then.
	Conflict bool
	// NotFound says, for a Lookup, that nothing is recorded under the key. There
	// is no outcome then.
	NotFound bool
	// Unavailable says, for a Lookup, that the table service couldn't be
	// reached. There is no outcome then.
	Unavailable bool
	// RetryAt is when asking again may help; zero where it doesn't.
	RetryAt time.Time
	Reason  string
}

// IsAction marks Answer as an action.
func (Result) IsAction() {}
