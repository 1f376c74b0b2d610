package endive

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a steady clock that goes on while the machine is suspended, unlike
// the monotonic reading of time.Now. Its times also tell the time of day, as it was
// when the clock was made.
type BootClock struct {
	base time.Time
	boot time.Duration
}

// NewBootClock returns a clock that agrees with the time of day now.
func NewBootClock() BootClock {
	return BootClock{base: time.Now().Round(0), boot: sinceBoot()}
}

// Now implements Clock.
func (c BootClock) Now() time.Time { return c.base.Add(sinceBoot() - c.boot) }

// sinceBoot returns the time since the system started, suspended time included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be kept.
		panic("endive: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
