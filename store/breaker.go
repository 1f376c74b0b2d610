package store

import (
	"time"

	"endiveroute.example/endive"
)

// breaker is a circuit breaker. After a number of consecutive failures it rejects
// all operations but one probe per openInterval. It is not safe for concurrent
// use.
type breaker struct {
	threshold    int
	openInterval endive.Interval
	failures     int
	openUntil    time.Time
}

// allow reports whether an operation may be sent now. While the breaker is
// open, it allows one probe per openInterval.
func (b *breaker) allow(now time.Time) bool {
	if b.failures < b.threshold {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openUntil = b.openInterval.After(now)
	return true
}

// record updates the breaker with the result of an operation.
func (b *breaker) record(now time.Time, answered bool) {
	if answered {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures >= b.threshold {
		b.openUntil = b.openInterval.After(now)
	}
}
