// Package poll reads changed rows of the table service again and again.
package poll

import (
	"time"

	"endiveroute.example/endive"
)

// Scanner reads the rows below a prefix by revision, with one scan on its way at
// most. It belongs to one machine.
type Scanner struct {
	prefix string
	// after is the revision up to which all rows were read.
	after endive.Revision
	// requested counts the scans asked for, succeeded is the number of the newest
	// one that gave rows.
	requested, succeeded uint64
	inFlight, failed     bool
	// rescan asks for another scan after the one on its way.
	rescan bool
	sentAt time.Time
}

// NewScanner returns a scanner that has read nothing.
func NewScanner(prefix string) *Scanner { return &Scanner{prefix: prefix} }

// Request asks for a scan that begins now or later, and returns its number.
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

// Receive notes the answer to the scan on its way. It reports whether there are
// rows; sent is when they were asked for.
func (s *Scanner) Receive(event endive.Scanned) (sent time.Time, ok bool) {
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

// Rescan asks again where that was wanted during the last scan.
func (s *Scanner) Rescan(now time.Time) []endive.Action {
	if !s.rescan || s.inFlight {
		return nil
	}
	_, actions := s.Request(now)
	return actions
}

// LastSucceeded returns the number of the newest scan that gave rows; 0 for none.
func (s *Scanner) LastSucceeded() uint64 { return s.succeeded }

// Unavailable reports whether the table doesn't answer: the last scan failed, or the
// one on its way was sent before since.
func (s *Scanner) Unavailable(sentBefore time.Time) bool {
	return s.failed || (s.inFlight && s.sentAt.Before(sentBefore))
}

// Fresh reports whether the last scan gave rows and was asked for within the
// last while.
func (s *Scanner) Fresh(now time.Time, maxAge endive.Interval) bool {
	return s.succeeded > 0 && !s.inFlight && !s.failed && now.Before(maxAge.After(s.sentAt))
}
