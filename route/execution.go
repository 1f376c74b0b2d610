package route

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// execution is one question to a service, asked by one or more callers.
type execution struct {
	// request is the first caller's of those that wait.
	request       endive.RequestID
	service       *service
	body          []byte
	digest        Digest
	nonIdempotent bool
	arrived       time.Time
	// deadline is the first caller's, and the order in the queue.
	deadline time.Time
	seq      uint64
	// index is the place in the queue's heap; -1 while not waiting.
	index   int
	clients []*client
	// attempts are those that go on and whose answer is wanted.
	attempts []*attempt
	// tried are the executors of all attempts.
	tried []*executor
	// mayHaveRun says that an attempt ended without a refusal.
	mayHaveRun bool
	// lostAttempt is the attempt that was found lostAttempt; nil if none was.
	lostAttempt *attempt
	// hedged says that the early hedged try was made.
	hedged bool
	// failure is an executor's answer that reports a failure; it goes to the
	// caller where no better one comes.
	failure *endive.Reply
}

// lastDeadline returns the latest deadline of all callers.
func (e *execution) lastDeadline() time.Time {
	var last time.Time
	for _, c := range e.clients {
		if c.deadline.After(last) {
			last = c.deadline
		}
	}
	return last
}

// hasTried reports whether an attempt was made on x.
// An executor that has answered others since an attempt on it was lost counts as
// not tried once more: its connections were at fault.
func (e *execution) hasTried(x *executor) bool {
	if e.lostAttempt == nil || e.lostAttempt.executor != x || !x.lastReply.After(e.lostAttempt.started) {
		return slices.Contains(e.tried, x)
	}
	first := slices.Index(e.tried, x)
	return slices.Contains(e.tried[first+1:], x)
}

// outcome returns what can be said if nothing more is tried.
func (e *execution) outcome() endive.Outcome {
	switch {
	case e.failure != nil:
		return endive.Answered
	case e.mayHaveRun || len(e.attempts) > 0:
		return endive.Unknown
	}
	return endive.NotRun
}
