package route

import (
	"time"

	"endiveroute.example/endive"
)

// Digest identifies identical requests to one service: requests with the same
// digest have the same body and headers. It is empty for a request that can't
// be shared.
type Digest string

// ClientRequest is the event of a request from a client. The request gets one
// Answer, unless the client disconnects before.
type ClientRequest struct {
	Request endive.RequestID
	Service endive.ServiceName
	// Deadline is when the client stops waiting; zero means the service's
	// timeout.
	Deadline time.Time
	// NonIdempotent marks a request that must not run twice.
	NonIdempotent bool
	Body          []byte
	Digest        Digest
}

// IsEvent marks ClientRequest as an event.
func (ClientRequest) IsEvent() {}
