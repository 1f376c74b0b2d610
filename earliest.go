package endive

import "time"

// Earliest returns the earlier of two times. A zero time counts as later than any
// other time.
func Earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Latest returns the later of two times.
func Latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
