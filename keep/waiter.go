package keep

import (
	"time"

	"endiveroute.example/endive"
)

// waiter is a BeginRequest or a Lookup whose result is pending.
type waiter struct {
	tag Tag
	// isLookup marks a Lookup, which does not wait for a pending request.
	isLookup bool
	request  endive.RequestID
	digest   Digest
	deadline time.Time
	// sharesOutcome is set once the waiter has waited for a pending request.
	// The waiter gets the outcome of that request and does not start another
	// one.
	sharesOutcome bool
	// readTooEarly marks a Lookup that arrived while a table request was in flight.
	// The response may be older than the Lookup, so the row must be read again.
	readTooEarly bool
}
