package route

import (
	"time"

	"endiveroute.example/endive"
)

// Digest tells equal questions to one service: requests with the same digest
// have the same body and headers. It is empty for a request that shares nothing.
type Digest string

// ClientRequest is the event of a caller's request. It is answered by one Answer, unless
// the caller leaves before.
type ClientRequest struct {
	Request endive.RequestID
	Service endive.ServiceName
	// Deadline is when the caller stops waiting; zero stands for the service's
	// timeout.
	Deadline time.Time
	// NonIdempotent marks a request that must not run twice.
	NonIdempotent bool
	Body          []byte
	Digest        Digest
}

// IsEvent marks Ask as an event.
func (ClientRequest) IsEvent() {}
