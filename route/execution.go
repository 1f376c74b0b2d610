package route

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// execution is one request to a service. Several clients with identical
// requests may share it.
type execution struct {
	// request is the id of the first client that still waits.
	request       endive.RequestID
	service       *service
	body          []byte
	digest        Digest
	nonIdempotent bool
	arrived       time.Time
	// deadline is the deadline of the client that started the execution. The
	// queue is sorted by these deadlines.
	deadline time.Time
	seq      uint64
	// index is the position in the queue's heap; -1 if the execution isn't
	// queued.
	index   int
	clients []*client
	// attempts are the running attempts whose answer is still wanted.
	attempts []*attempt
	// tried lists the executors of all attempts.
	tried []*executor
	// mayHaveRun is set once an attempt has ended other than with NotRun.
	mayHaveRun bool
	// broken counts the attempts whose connection broke before their deadline, as it does if the
	// executor crashes.
	broken int
	// lostAttempt is the attempt that isLost has found to be lost, or nil.
	lostAttempt *attempt
	// hedged is set once a second attempt was queued while the first one still
	// ran.
	hedged bool
	// failure is an executor's response with a server error. It is returned to
	// the client if no later attempt succeeds.
	failure *endive.Reply
}

// lastDeadline returns the latest deadline of all clients.
func (e *execution) lastDeadline() time.Time {
	var last time.Time
	for _, c := range e.clients {
		if c.deadline.After(last) {
			last = c.deadline
		}
	}
	return last
}

// hasTried reports whether an attempt was made on the executor. If that attempt
// was lost and the executor has answered other attempts since, the connection
// was at fault, so the executor may be tried once more.
func (e *execution) hasTried(x *executor) bool {
	if e.lostAttempt == nil || e.lostAttempt.executor != x || !x.lastReply.After(e.lostAttempt.started) {
		return slices.Contains(e.tried, x)
	}
	first := slices.Index(e.tried, x)
	return slices.Contains(e.tried[first+1:], x)
}

// outcome returns the outcome that the request has if no further attempt is
// made.
func (e *execution) outcome() endive.Outcome {
	switch {
	case e.failure != nil:
		return endive.Answered
	case e.mayHaveRun || len(e.attempts) > 0:
		return endive.Unknown
	}
	return endive.NotRun
}
