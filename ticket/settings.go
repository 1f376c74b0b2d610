package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// Defaults of Settings.
const (
	DefaultPoll    = endive.Interval(time.Second)
	DefaultGrant   = endive.Interval(2500 * time.Millisecond)
	DefaultContact = endive.Interval(5 * time.Second)
	DefaultMargin  = endive.Interval(500 * time.Millisecond)
	DefaultGone    = endive.Interval(8 * time.Second)
	DefaultUnseen  = endive.Interval(time.Minute)
)

// Settings are the times of a Keeper.
type Settings struct {
	// PollInterval is how often the table is asked for changes.
	PollInterval endive.Interval
	// Grant is how long a state that a peer gave may be used by an entry that
	// isn't registered, from the moment that it asked.
	Grant endive.Interval
	// Contact is how long a registered entry answers callers without having
	// reached the table or a peer.
	Contact endive.Interval
	// Margin covers the difference in speed of two clocks.
	Margin endive.Interval
	// Gone is how long an entry must have been gone before its row is taken out
	// of the table.
	Gone endive.Interval
	// Unseen is the same for an entry that no view of the members has shown: it
	// covers the lag of the instance list.
	Unseen endive.Interval
}

// Defaults fills in what was left out.
func (s *Settings) Defaults() {
	s.PollInterval.Default(DefaultPoll)
	s.Grant.Default(DefaultGrant)
	s.Contact.Default(DefaultContact)
	s.Margin.Default(DefaultMargin)
	s.Gone.Default(DefaultGone)
	s.Unseen.Default(DefaultUnseen)
}

// Validate adds everything wrong with s to f, below place.
func (s Settings) Validate(f *endive.Findings, place string) {
	if s.PollInterval <= 0 {
		f.Add(place+".poll", "is %s; it must be above 0", s.PollInterval)
	}
	if s.Grant < 2*s.PollInterval {
		f.Add(place+".grant", "is %s; it must be at least twice the poll of %s", s.Grant, s.PollInterval)
	}
	if s.Contact < s.Grant {
		f.Add(place+".contact", "is %s, below the grant of %s", s.Contact, s.Grant)
	}
	if s.Margin <= 0 {
		f.Add(place+".margin", "is %s; it must be above 0", s.Margin)
	}
	if least := s.Contact + s.Grant + s.Margin; s.Gone < least {
		f.Add(place+".gone", "is %s; it must be at least contact, grant and margin, %s", s.Gone, least)
	}
	if s.Unseen < s.Gone {
		f.Add(place+".unseen", "is %s, below gone, %s", s.Unseen, s.Gone)
	}
}
