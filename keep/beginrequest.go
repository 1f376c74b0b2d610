package keep

import (
	"time"

	"endiveroute.example/endive"
)

// Tag matches a SendRequest or a Result to its event. The caller of the machine
// chooses it.
type Tag uint64

// Digest is the digest of a request's content. Requests with the same key must have
// the same digest.
type Digest string

// BeginRequest is the event of receiving a client's non-idempotent request. The
// machine returns one Result, possibly after a SendRequest.
type BeginRequest struct {
	Tag     Tag
	Request endive.RequestID
	Service endive.ServiceName
	Key     endive.IdempotencyKey
	Digest  Digest
	// Deadline is when the request times out.
	Deadline time.Time
}

// IsEvent marks BeginRequest as an event.
func (BeginRequest) IsEvent() {}
