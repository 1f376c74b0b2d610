package apiv1

import (
	"time"

	"endiveroute.example/endive"
)

// Request is a client's request to a service.
type Request struct {
	// ID is assigned by the entry that receives the request.
	ID      endive.RequestID
	Service endive.ServiceName
	// Key is required for a non-idempotent request.
	Key endive.IdempotencyKey
	// NonIdempotent requires that the request runs at most once.
	NonIdempotent bool
	// Deadline is when the client stops waiting; if zero, the timeout in the service's
	// configuration applies.
	Deadline time.Time
	Body     []byte
}
