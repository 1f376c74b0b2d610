package endive

import "time"

// PlatformClock relates the platform's steady clock to this process's. Leases that
// several entries go by are kept in the platform's time, so that no two machines'
// clocks are compared.
type PlatformClock interface {
	// Known reports whether the platform's time has been read yet.
	Known() bool
	// AtLeast returns a time that the platform's clock has surely reached at local
	// time at.
	AtLeast(at time.Time) PlatformTime
	// Earliest returns the earliest local time at which the platform's clock can
	// show t.
	Earliest(t PlatformTime) time.Time
}
