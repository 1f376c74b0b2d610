package keep

import (
	"time"

	"endiveroute.example/endive"
)

// waiter is a Begin or a Lookup that waits for its answer.
type waiter struct {
	tag Tag
	// isLookup marks a Lookup, which doesn't wait for an outcome.
	isLookup bool
	request  endive.RequestID
	digest   Digest
	deadline time.Time
	// sharesOutcome says that it has sharesOutcome for a request that was pending: it gets the
	// outcome of that one, and doesn't try again by itself.
	sharesOutcome bool
	// needsReread marks a Lookup that came while an answer of the table was on its way,
	// which may be older than the question.
	needsReread bool
}
