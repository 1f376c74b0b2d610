package guard

import (
	"sync"
	"time"

	"endiveroute.example/endive"
)

// SuspectConns records which connections may be dead: those that were open when a request
// to the same address got no valid answer. It is safe for concurrent use.
type SuspectConns struct {
	maxAge endive.Interval

	mu           sync.Mutex
	suspectSince map[endive.Address]time.Time
}

// NewSuspectConns returns an empty SuspectConns for connections that are used for at most
// maxAge after their opening.
func NewSuspectConns(maxAge endive.Interval) *SuspectConns {
	return &SuspectConns{maxAge: maxAge, suspectSince: make(map[endive.Address]time.Time)}
}

// MarkSuspect marks all connections to an address that were opened before now.
func (s *SuspectConns) MarkSuspect(address endive.Address, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, since := range s.suspectSince {
		if s.maxAge.After(since).Before(now) {
			delete(s.suspectSince, other)
		}
	}
	s.suspectSince[address] = now
}

// NotBefore returns the earliest opening time of a connection to an address that may be
// used now. Older connections are suspect or have reached the maximum age.
func (s *SuspectConns) NotBefore(address endive.Address, now time.Time) time.Time {
	oldest := now.Add(-time.Duration(s.maxAge))
	s.mu.Lock()
	defer s.mu.Unlock()
	if since := s.suspectSince[address]; since.After(oldest) {
		return since
	}
	return oldest
}
