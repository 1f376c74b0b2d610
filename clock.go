package endive

import "time"

// Clock is a source of local time. Only the difference between two readings of the
// same clock is meaningful.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }
