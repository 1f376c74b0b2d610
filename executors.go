package endive

import (
	"context"
	"time"
)

// Call is one attempt to run a request on an executor.
type Call struct {
	Attempt  AttemptID
	Request  RequestID
	Service  ServiceName
	Executor ExecutorID
	Address  Address
	// Deadline is when the attempt times out.
	Deadline time.Time
	Body     []byte
	// MaxAnswer is the maximum size of the response body.
	MaxAnswer Bytes
	// FreshConnection requests a new connection instead of a pooled one.
	FreshConnection bool
	// Connections is the maximum number of connections of this entry to the
	// executor, including idle ones, so that all entries together stay within the
	// service's connection limit.
	Connections int
}

// Reply is the result of one attempt.
type Reply struct {
	// Outcome is Answered, NotRun (no byte was sent, or the executor refused the
	// request) or Unknown.
	Outcome Outcome
	// Status is the HTTP status of the executor's response, if there was one.
	Status int
	Body   []byte
	// Leaving is true if the executor announced that it is shutting down.
	Leaving bool
	// Refused is true if the executor was reached but had no free slot.
	Refused bool
	// Ended is true if Outcome is Unknown but the executor has certainly finished the
	// attempt: the response started but was truncated.
	Ended bool
	// Reason explains why there is no complete response.
	Reason string
}

// Executors sends requests to executors.
type Executors interface {
	// Call makes one attempt and returns its result. It sends the request at most
	// once. The outcome is Answered only if the response is complete and belongs to
	// this request.
	Call(ctx context.Context, call Call) Reply
}
