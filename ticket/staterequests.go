package ticket

import "time"

// maxStateRequests limits the number of unanswered requests for a peer's
// configuration.
const maxStateRequests = 16

// stateRequests tracks the unanswered requests for a peer's configuration
// (wire.StateAsk).
type stateRequests struct {
	last uint64
	sent map[uint64]time.Time
	// nextPeer rotates through the peers, so that requests are spread over them.
	nextPeer int
}

// add records a request that is sent now and returns its sequence number.
func (s *stateRequests) add(now time.Time) uint64 {
	s.last++
	s.sent[s.last] = now
	delete(s.sent, s.last-maxStateRequests)
	return s.last
}

// remove removes a request that was answered and returns the time at which it was
// sent.
func (s *stateRequests) remove(sequence uint64) (time.Time, bool) {
	sent, ok := s.sent[sequence]
	delete(s.sent, sequence)
	return sent, ok
}
