package flow

import (
	"time"

	"endiveroute.example/endive"
)

// pollState is the state of the polls of a worker.
type pollState struct {
	inFlight bool
	// id identifies the last poll, sentAt is when it was sent, and immediate is true if it
	// requested an answer without a wait.
	id        PollID
	sentAt    time.Time
	immediate bool
	// recorded is the end up to which the last poll acknowledged the ends.
	recorded endive.EndNumber
	// open has the polls whose calls haven't ended.
	open map[PollID]openPoll
	// nextAt is when the next poll is due.
	nextAt time.Time
	// queued is true while the worker waits to be probed.
	queued bool
}

// openPoll is a poll whose call hasn't ended.
type openPoll struct {
	sentAt time.Time
	// sentTo is the number of the worker's incarnation to which the poll was sent.
	sentTo int
	// renews is true if the poll renews the worker's leases.
	renews bool
}

// lateUntil returns until when the worker may carry out the poll if there is no answer, as far as that matters to its
// leases.
func (p openPoll) lateUntil() time.Time {
	if !p.renews {
		return time.Time{}
	}
	return p.sentAt.Add(maxCallDelay)
}
