package guard

import (
	"sync"
	"time"

	"endiveroute.example/endive"
)

// SuspectConns remembers which connections may have gone silent: those that were
// open when a request to the same address got no valid answer. It is safe for
// concurrent use.
type SuspectConns struct {
	age endive.Interval

	mu    sync.Mutex
	marks map[endive.Address]time.Time
}

// NewSuspectConns returns a memory for connections that are used until age after
// they were opened.
func NewSuspectConns(age endive.Interval) *SuspectConns {
	return &SuspectConns{age: age, marks: make(map[endive.Address]time.Time)}
}

// MarkSuspect makes the connections to an address suspect that are open at now.
func (s *SuspectConns) MarkSuspect(address endive.Address, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, mark := range s.marks {
		if s.age.After(mark).Before(now) {
			delete(s.marks, other)
		}
	}
	s.marks[address] = now
}

// NotBefore returns the earliest opening of a connection to an address that may
// be used at now.
func (s *SuspectConns) NotBefore(address endive.Address, now time.Time) time.Time {
	oldest := now.Add(-time.Duration(s.age))
	s.mu.Lock()
	defer s.mu.Unlock()
	if mark := s.marks[address]; mark.After(oldest) {
		return mark
	}
	return oldest
}
