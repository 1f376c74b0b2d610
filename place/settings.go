package place

import (
	"time"

	"endiveroute.example/endive"
)

// Settings are the intervals of a Machine. All entries must have the same: a new
// holder counts what the former one may still do.
type Settings struct {
	// TaskLeaseDuration is how long a task runs on without a renewal.
	TaskLeaseDuration endive.Interval
	// RenewInterval is the period of renewals.
	RenewInterval endive.Interval
	// CommandTimeout bounds the delivery of a command.
	CommandTimeout endive.Interval
	// OutageGrace is how long exclusive tasks are renewed without a slice lease.
	OutageGrace endive.Interval
	// ClockMargin covers the difference in speed between two clocks.
	ClockMargin endive.Interval
	// ScanInterval is the period of scans.
	ScanInterval endive.Interval
}

// DefaultSettings returns the settings of production.
func DefaultSettings() Settings {
	return Settings{
		TaskLeaseDuration: endive.Interval(15 * time.Second),
		RenewInterval:     endive.Interval(5 * time.Second),
		CommandTimeout:    endive.Interval(4 * time.Second),
		OutageGrace:       endive.Interval(120 * time.Second),
		ClockMargin:       endive.Interval(time.Second),
		ScanInterval:      endive.Interval(time.Second),
	}
}
