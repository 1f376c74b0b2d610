package lease

import (
	"time"

	"endiveroute.example/endive"
)

// Defaults of Settings.
const (
	DefaultLease   = endive.Interval(6 * time.Second)
	DefaultRenewal = endive.Interval(2 * time.Second)
	DefaultMargin  = endive.Interval(time.Second)
	DefaultPoll    = endive.Interval(time.Second)
	DefaultStagger = endive.Interval(2 * time.Second)
)

// Settings are the times of a Keeper.
type Settings struct {
	// Lease is how long a slice is held without a renewal.
	Lease endive.Interval
	// Renewal is how often a lease is renewed.
	Renewal endive.Interval
	// Margin covers the difference in speed of two clocks.
	Margin endive.Interval
	// Poll is how often the rows of the slices are read.
	Poll endive.Interval
	// Stagger is how much longer each less preferred entry waits before it takes
	// a slice.
	Stagger endive.Interval
}

// Defaults fills in what was left out.
func (s *Settings) Defaults() {
	s.Lease.Default(DefaultLease)
	s.Renewal.Default(DefaultRenewal)
	s.Margin.Default(DefaultMargin)
	s.Poll.Default(DefaultPoll)
	s.Stagger.Default(DefaultStagger)
}

// Validate adds everything wrong with s to f, below place.
func (s Settings) Validate(f *endive.Findings, path string) {
	if s.Renewal <= 0 {
		f.Add(path+".renewal", "is %s; it must be above 0", s.Renewal)
	}
	if s.Lease < 2*s.Renewal {
		f.Add(path+".lease", "is %s; it must be at least twice the renewal of %s", s.Lease, s.Renewal)
	}
	if s.Margin <= 0 {
		f.Add(path+".margin", "is %s; it must be above 0", s.Margin)
	}
	if s.Poll <= 0 {
		f.Add(path+".poll", "is %s; it must be above 0", s.Poll)
	}
	if s.Stagger < 0 {
		f.Add(path+".stagger", "is %s; it can't be negative", s.Stagger)
	}
}
