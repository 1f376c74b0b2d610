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

// Settings are the intervals of a Machine.
type Settings struct {
	// Lease is the duration of a lease, counted from its last renewal.
	Lease endive.Interval
	// Renewal is the interval between two renewals of a lease.
	Renewal endive.Interval
	// Margin is how much longer than Lease other entries wait before they acquire the slice. It
	// allows for clocks that run at different speeds.
	Margin endive.Interval
	// Poll is the interval between two reads of the slices' rows.
	Poll endive.Interval
	// Stagger is the additional time that an entry waits for each entry that is
	// preferred to this one, before it acquires a slice.
	Stagger endive.Interval
}

// Defaults replaces zero values with the defaults.
func (s *Settings) Defaults() {
	s.Lease.Default(DefaultLease)
	s.Renewal.Default(DefaultRenewal)
	s.Margin.Default(DefaultMargin)
	s.Poll.Default(DefaultPoll)
	s.Stagger.Default(DefaultStagger)
}

// Validate adds a finding for each invalid field. path is the path of the
// settings in the configuration.
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
