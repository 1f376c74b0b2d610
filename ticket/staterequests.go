package ticket

import "time"

// maxStateRequests bounds the asks for a peer's state that wait for an answer.
const maxStateRequests = 16

// stateRequests are the questions for a peer's state that wait for an answer.
type stateRequests struct {
	last uint64
	sent map[uint64]time.Time
	// rotation goes round the peers.
	rotation int
}

// add returns the number of a new ask.
func (a *stateRequests) add(now time.Time) uint64 {
	a.last++
	a.sent[a.last] = now
	delete(a.sent, a.last-maxStateRequests)
	return a.last
}

// remove returns when the answered ask was sent.
func (a *stateRequests) remove(sequence uint64) (time.Time, bool) {
	sent, ok := a.sent[sequence]
	delete(a.sent, sequence)
	return sent, ok
}
