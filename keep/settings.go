package keep

import (
	"time"

	"endiveroute.example/endive"
)

// Defaults and bounds of Settings.
const (
	DefaultPollInterval = endive.Interval(250 * time.Millisecond)
	DefaultExpiryMargin = endive.Interval(2 * time.Second)
	DefaultRetryDelay   = endive.Interval(time.Second)
	DefaultMaxInline    = 16 * endive.KiB
	DefaultMaxKeys      = 10000
)

// Settings are the intervals and limits of a Machine.
type Settings struct {
	// PollInterval is how often a key's row is first polled while a request waits for
	// another entry's outcome. The interval then doubles up to one second.
	PollInterval endive.Interval
	// ExpiryMargin is how long after the deadline of another entry's request its
	// outcome is recorded as unknown.
	ExpiryMargin endive.Interval
	// RetryDelay is the delay after which clients may retry, and the delay before a
	// failed operation is retried.
	RetryDelay endive.Interval
	// MaxInline is the maximum size of a body stored in the row. Larger bodies
	// are written to the object store.
	MaxInline endive.Bytes
	// MaxKeys is the maximum number of keys in use at the same time.
	MaxKeys int
}

// Defaults sets the fields that are zero to their defaults.
func (s *Settings) Defaults() {
	s.PollInterval.Default(DefaultPollInterval)
	s.ExpiryMargin.Default(DefaultExpiryMargin)
	s.RetryDelay.Default(DefaultRetryDelay)
	if s.MaxInline == 0 {
		s.MaxInline = DefaultMaxInline
	}
	if s.MaxKeys == 0 {
		s.MaxKeys = DefaultMaxKeys
	}
}

// Validate adds the errors in the settings to the findings, with paths below
// path.
func (s Settings) Validate(f *endive.Findings, path string) {
	if s.PollInterval <= 0 {
		f.Add(path+".poll", "is %s; it must be above 0", s.PollInterval)
	}
	if s.ExpiryMargin <= 0 {
		f.Add(path+".margin", "is %s; it must be above 0", s.ExpiryMargin)
	}
	if s.RetryDelay <= 0 {
		f.Add(path+".retry", "is %s; it must be above 0", s.RetryDelay)
	}
	if s.MaxInline <= 0 {
		f.Add(path+".maxInline", "is %d; it must be above 0", s.MaxInline)
	}
	if s.MaxKeys <= 0 {
		f.Add(path+".maxKeys", "is %d; it must be above 0", s.MaxKeys)
	}
}
