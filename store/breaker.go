package store

import (
	"time"

	"endiveroute.example/endive"
)

// breaker turns operations down after failures in a row, but for one probe now
// and then. It is not safe for concurrent use.
type breaker struct {
	threshold    int
	openInterval endive.Interval
	failures     int
	openUntil    time.Time
}

// allow reports whether an operation may go out at now. While the breaker is
// open it lets one probe through per interval.
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

// record records whether an operation was answered.
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
