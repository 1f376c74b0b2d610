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

// Settings are the times and bounds of a Keeper.
type Settings struct {
	// PollInterval is how often the row of a key is read while a request waits for
	// another entry's outcome.
	PollInterval endive.Interval
	// ExpiryMargin is how long after a request's deadline its entry is given up on.
	ExpiryMargin endive.Interval
	// RetryDelay is how long callers are told to wait, and how often a record that
	// failed is tried again.
	RetryDelay endive.Interval
	// MaxInline bounds a body in the row; a larger one goes to the object store.
	MaxInline endive.Bytes
	// MaxKeys bounds the keys that are at work at the same time.
	MaxKeys int
}

// Defaults fills in what was left out.
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

// Validate adds everything wrong with s to f, below place.
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
