package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// Defaults of Settings.
const (
	DefaultPollInterval         = endive.Interval(time.Second)
	DefaultGrantDuration        = endive.Interval(2500 * time.Millisecond)
	DefaultContactTimeout       = endive.Interval(5 * time.Second)
	DefaultClockMargin          = endive.Interval(500 * time.Millisecond)
	DefaultRemovalDelay         = endive.Interval(8 * time.Second)
	DefaultUnlistedRemovalDelay = endive.Interval(time.Minute)
)

// Settings are the intervals and time limits of a Machine.
type Settings struct {
	// PollInterval is how often the table is polled for changes.
	PollInterval endive.Interval
	// GrantDuration is how long an unregistered entry may use the configuration that a
	// peer has sent, counted from the entry's request.
	GrantDuration endive.Interval
	// ContactTimeout is how long a registered entry keeps serving clients without
	// contact to the table or a peer.
	ContactTimeout endive.Interval
	// ClockMargin allows for the difference in speed of two clocks.
	ClockMargin endive.Interval
	// RemovalDelay is how long an entry must have been gone before its registration is
	// revoked.
	RemovalDelay endive.Interval
	// UnlistedRemovalDelay is the RemovalDelay of an entry that has never
	// appeared among the members. This delay is longer than RemovalDelay, to
	// allow for the lag of the instance list.
	UnlistedRemovalDelay endive.Interval
}

// Defaults sets the fields that are zero to their defaults.
func (s *Settings) Defaults() {
	s.PollInterval.Default(DefaultPollInterval)
	s.GrantDuration.Default(DefaultGrantDuration)
	s.ContactTimeout.Default(DefaultContactTimeout)
	s.ClockMargin.Default(DefaultClockMargin)
	s.RemovalDelay.Default(DefaultRemovalDelay)
	s.UnlistedRemovalDelay.Default(DefaultUnlistedRemovalDelay)
}

// Validate adds the errors in the settings to the findings, with paths below
// path.
func (s Settings) Validate(f *endive.Findings, path string) {
	if s.PollInterval <= 0 {
		f.Add(path+".poll", "is %s; it must be above 0", s.PollInterval)
	}
	if s.GrantDuration < 2*s.PollInterval {
		f.Add(path+".grant", "is %s; it must be at least twice the poll of %s", s.GrantDuration, s.PollInterval)
	}
	if s.ContactTimeout < s.GrantDuration {
		f.Add(path+".contact", "is %s, below the grant of %s", s.ContactTimeout, s.GrantDuration)
	}
	if s.ClockMargin <= 0 {
		f.Add(path+".margin", "is %s; it must be above 0", s.ClockMargin)
	}
	if least := s.ContactTimeout + s.GrantDuration + s.ClockMargin; s.RemovalDelay < least {
		f.Add(path+".gone", "is %s; it must be at least contact, grant and margin, %s", s.RemovalDelay, least)
	}
	if s.UnlistedRemovalDelay < s.RemovalDelay {
		f.Add(path+".unseen", "is %s, below gone, %s", s.UnlistedRemovalDelay, s.RemovalDelay)
	}
}
