package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// registration is the state of this entry's registration. While the entry is
// registered, tickets are in force only after the entry has confirmed them.
type registration struct {
	// registered is set once the row was written and the configuration was read after
	// that. It is cleared when contact is lost for too long.
	registered bool
	// validUntil is until when the configuration counts as current.
	validUntil time.Time
	// version is the version of the entry's row; 0 if there is none.
	version endive.Version
	// writeID identifies the pending transaction that writes the row.
	// unregistering is set if this transaction revokes the registration.
	writeID       endive.WriteID
	unregistering bool
	// retryAt is when a failed write may be retried.
	retryAt time.Time
	// written is set once the row was written. minConfigScan is the first scan of the
	// configuration sent after that; only this scan and later ones complete the
	// registration.
	written       bool
	minConfigScan uint64
	// sentAt is when the row's transaction was sent. If the configuration is read too
	// long after that, another entry may already have revoked the registration.
	sentAt time.Time
	// stopping is set in a planned stop, unregistered once no ticket waits for the
	// entry.
	stopping, unregistered bool
}

// extend records that the configuration was current at a time and counts as current
// for the duration after it.
func (r *registration) extend(at time.Time, duration endive.Interval) {
	if until := duration.After(at); until.After(r.validUntil) {
		r.validUntil = until
	}
}

// finish completes the registration after a scan of the configuration. If too much
// time has passed since the row was written, the registration may have been revoked in
// the meantime, and the row is written again.
func (r *registration) finish(now time.Time, timeout endive.Interval) {
	if r.registered || !r.written {
		return
	}
	r.registered = now.Before(timeout.After(r.sentAt))
	r.written = r.registered
}

// expire ends the registration if contact was lost for too long, because another entry
// may have revoked it. It reports whether the registration has ended.
func (r *registration) expire(now time.Time) bool {
	if !r.registered || now.Before(r.validUntil) {
		return false
	}
	r.registered = false
	r.written = false
	return true
}
