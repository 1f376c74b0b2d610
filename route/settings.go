package route

import (
	"time"

	"endiveroute.example/endive"
)

// Settings holds the limits and timings of one entry's routing.
type Settings struct {
	// Entry and Incarnation make attempt ids unique.
	Entry       endive.EntryID
	Incarnation endive.Incarnation
	// QueueLimit is the maximum number of queued requests of one service.
	QueueLimit int
	// CrossCost is the additional round-trip time to another region.
	CrossCost endive.Interval
	// CrossBytesPerSecond limits the bytes of request and response bodies sent
	// between regions.
	CrossBytesPerSecond endive.Bytes
	// RetryShare is the number of retry tokens that the first attempt at a
	// request adds. Together with the saved-up tokens, retries add less than a
	// tenth to the load over 300 requests.
	RetryShare float64
	// RetryBurst is the maximum number of retry tokens saved up.
	RetryBurst float64
	// EjectRate is the failure rate at which an executor is ejected.
	EjectRate float64
	// EjectFor is the length of the first ejection; it doubles with each
	// further one.
	EjectFor endive.Interval
	// MaxEjected is the share of executors of a service that may be out of use
	// at the same time because they are ejected or suspect.
	MaxEjected float64
}

// DefaultSettings returns the settings for a cell of the present size.
func DefaultSettings(entry endive.EntryID, incarnation endive.Incarnation) Settings {
	return Settings{
		Entry:               entry,
		Incarnation:         incarnation,
		QueueLimit:          1000,
		CrossCost:           endive.Interval(60 * time.Millisecond),
		CrossBytesPerSecond: 1 * endive.MiB,
		RetryShare:          0.09,
		RetryBurst:          3,
		EjectRate:           0.5,
		EjectFor:            endive.Interval(time.Second),
		MaxEjected:          1.0 / 3,
	}
}

// Validate returns all invalid settings.
func (s Settings) Validate() endive.Findings {
	var f endive.Findings
	if s.Entry == "" {
		f.Add("entry", "is missing")
	}
	if s.QueueLimit < 1 {
		f.Add("queueLimit", "is %d; it must be at least 1", s.QueueLimit)
	}
	if s.CrossCost < 0 {
		f.Add("crossCost", "is negative")
	}
	if s.CrossBytesPerSecond < 0 {
		f.Add("crossBytesPerSecond", "is negative")
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		f.Add("retryShare", "is %v; it must be 0 to 1", s.RetryShare)
	}
	if s.RetryBurst < 1 {
		f.Add("retryBurst", "is %v; it must be at least 1", s.RetryBurst)
	}
	if s.EjectRate <= 0 || s.EjectRate > 1 {
		f.Add("ejectRate", "is %v; it must be above 0 and at most 1", s.EjectRate)
	}
	if s.EjectFor <= 0 {
		f.Add("ejectFor", "is %s; it must be above 0", s.EjectFor)
	}
	if s.MaxEjected < 0 || s.MaxEjected >= 1 {
		f.Add("maxEjected", "is %v; it must be at least 0 and below 1", s.MaxEjected)
	}
	return f
}
