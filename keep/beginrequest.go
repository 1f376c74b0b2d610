package keep

import (
	"time"

	"endiveroute.example/endive"
)

// Tag pairs a Proceed or an Answer with its question. The caller of the machine
// chooses it.
type Tag uint64

// Digest is the digest of a request's content. Requests that share a key must
// share it too.
type Digest string

// BeginRequest is the event of a caller's non-idempotent request. It is answered by
// one Answer, which a Proceed may come before.
type BeginRequest struct {
	Tag     Tag
	Request endive.RequestID
	Service endive.ServiceName
	Key     endive.IdempotencyKey
	Digest  Digest
	// Deadline is when the request is given up on.
	Deadline time.Time
}

// IsEvent marks Begin as an event.
func (BeginRequest) IsEvent() {}
