package place

import (
	"time"

	"endiveroute.example/endive"
)

// Settings are the intervals of a Machine. All entries must use the same ones,
// because a new holder computes from them how long tasks of the previous holder
// may still run.
type Settings struct {
	// TaskLeaseDuration is how long a task keeps running without a renewal.
	TaskLeaseDuration endive.Interval
	// RenewInterval is the interval of lease renewals.
	RenewInterval endive.Interval
	// CommandTimeout bounds the delivery of a command.
	CommandTimeout endive.Interval
	// OutageGrace is how long exclusive tasks are renewed after the slice's lease
	// has expired.
	OutageGrace endive.Interval
	// ClockMargin covers the drift between the clocks of an entry and a worker.
	ClockMargin endive.Interval
	// ScanInterval is the interval of scans for new jobs and cancellations.
	ScanInterval endive.Interval
}

// DefaultSettings returns the settings for production.
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
