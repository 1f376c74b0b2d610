package endive

import "time"

// PlatformClock converts between the platform's monotonic clock and the clock of this
// process. Leases that several entries use are stored in the platform's time, so that
// clocks of different machines are never compared.
type PlatformClock interface {
	// Known reports whether the platform's time has been read at least once.
	Known() bool
	// AtLeast returns a lower bound of the platform's time at a local time.
	AtLeast(at time.Time) PlatformTime
	// Earliest returns a lower bound of the local time at which the platform's clock
	// reaches the given time.
	Earliest(t PlatformTime) time.Time
}
