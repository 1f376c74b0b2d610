package endive

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a monotonic clock that keeps running while the machine is suspended,
// unlike the monotonic reading of time.Now. Its times are the time of day at the
// clock's creation plus the time elapsed since; later changes of the system's time of
// day don't affect it.
type BootClock struct {
	startTime time.Time
	startBoot time.Duration
}

// NewBootClock returns a clock that starts at the current time of day.
func NewBootClock() BootClock {
	return BootClock{startTime: time.Now().Round(0), startBoot: sinceBoot()}
}

// Now implements Clock.
func (c BootClock) Now() time.Time { return c.startTime.Add(sinceBoot() - c.startBoot) }

// sinceBoot returns the time since the system booted, including suspended time.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39. Without it, lease expiry can't be computed.
		panic("endive: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
