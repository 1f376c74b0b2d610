// Package poll reads changed rows of the table service repeatedly.
package poll

import (
	"time"

	"endiveroute.example/endive"
)

// Scanner reads the rows with a key prefix that changed since the last read, with one scan in
// flight at most. It is used by a single machine, which emits its actions.
type Scanner struct {
	prefix string
	// after is the revision up to which all changes were read.
	after endive.Revision
	// requested is the number of scans requested so far, and succeeded is the
	// number of the last scan that succeeded.
	requested, succeeded uint64
	inFlight, failed     bool
	// rescan is true if another scan was requested while one is in flight.
	rescan bool
	sentAt time.Time
}

// NewScanner returns a scanner that has not read any rows yet.
func NewScanner(prefix string) *Scanner { return &Scanner{prefix: prefix} }

// Request requests a scan that begins no earlier than now, and returns its
// number. If a scan is in flight, the new scan begins after that one.
func (s *Scanner) Request(now time.Time) (uint64, []endive.Action) {
	if s.inFlight {
		s.rescan = true
		return s.requested + 1, nil
	}
	s.inFlight = true
	s.rescan = false
	s.requested++
	s.sentAt = now
	return s.requested, []endive.Action{endive.Scan{Prefix: s.prefix, After: s.after}}
}

// Receive handles the result of the scan in flight. ok is false if event belongs to another
// scan or the scan failed. sentAt is when the scan was sent.
func (s *Scanner) Receive(event endive.Scanned) (sentAt time.Time, ok bool) {
	if !s.inFlight || event.Prefix != s.prefix || event.After != s.after {
		return time.Time{}, false
	}
	s.inFlight = false
	s.failed = event.Unavailable
	if event.Unavailable {
		return time.Time{}, false
	}
	s.succeeded = s.requested
	s.after = max(s.after, event.Changes.Revision)
	return s.sentAt, true
}

// Rescan begins the scan that was requested while another was in flight, if any.
func (s *Scanner) Rescan(now time.Time) []endive.Action {
	if !s.rescan || s.inFlight {
		return nil
	}
	_, actions := s.Request(now)
	return actions
}

// LastSucceeded returns the number of the last successful scan, or 0 if there is none.
func (s *Scanner) LastSucceeded() uint64 { return s.succeeded }

// Unavailable reports whether the table service doesn't answer: the last scan failed, or the
// one in flight was sent before sentBefore.
func (s *Scanner) Unavailable(sentBefore time.Time) bool {
	return s.failed || (s.inFlight && s.sentAt.Before(sentBefore))
}

// Fresh reports whether the last scan succeeded, was sent less than maxAge ago, and no other is
// in flight.
func (s *Scanner) Fresh(now time.Time, maxAge endive.Interval) bool {
	return s.succeeded > 0 && !s.inFlight && !s.failed && now.Before(maxAge.After(s.sentAt))
}
