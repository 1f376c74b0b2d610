package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// registration says how far this entry may answer callers: whether those who say
// that a ticket is in force wait for it.
type registration struct {
	// registered says that the entry's row was written, that the configuration
	// was read after it, and that contact was never lost since.
	registered bool
	// validUntil is when the configuration must have been proved anew.
	validUntil time.Time
	// version is that of the entry's row, 0 without one.
	version endive.Version
	// writeID is the transaction on its way that writes the row; ending says
	// that it takes the registration back.
	writeID       endive.WriteID
	unregistering bool
	// retryAt is when a write that failed may be tried again.
	retryAt time.Time
	// written says that the row was written; proof is the first scan of the
	// configuration that counts from then on.
	written       bool
	minConfigScan uint64
	// sentAt is when the row's transaction was sent. A row that was written
	// too long ago, without a proof, may have been taken back.
	sentAt time.Time
	// stopping says that the entry is stopping, unregistered that nobody waits for it.
	stopping, unregistered bool
}

// extend notes that the configuration was current at a time, and holds for a
// while.
func (s *registration) extend(at time.Time, duration endive.Interval) {
	if until := duration.After(at); until.After(s.validUntil) {
		s.validUntil = until
	}
}

// finish ends the registration with a read of the configuration. It comes too
// late where the row may have been taken back meanwhile: the row is then written
// anew.
func (s *registration) finish(now time.Time, contact endive.Interval) {
	if s.registered || !s.written {
		return
	}
	s.registered = now.Before(contact.After(s.sentAt))
	s.written = s.registered
}

// expire ends the registration when contact was lost for too long: the row may
// have been taken out of the table. It reports whether it did.
func (s *registration) expire(now time.Time) bool {
	if !s.registered || now.Before(s.validUntil) {
		return false
	}
	s.registered = false
	s.written = false
	return true
}
