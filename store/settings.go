package store

import (
	"time"

	"endiveroute.example/endive"
)

// Defaults of Settings.
const (
	DefaultInFlight      = 64
	DefaultTries         = 3
	DefaultTimeout       = endive.Interval(2 * time.Second)
	DefaultBackoff       = endive.Interval(50 * time.Millisecond)
	DefaultMaxBackoff    = endive.Interval(2 * time.Second)
	DefaultBreakAfter    = 5
	DefaultBreakFor      = endive.Interval(time.Second)
	DefaultRetryFraction = 0.1
)

// maxRetryTokens bounds the retries that can be saved up.
const maxRetryTokens = 10

// Settings bounds what the client asks of the table service.
type Settings struct {
	// InFlight bounds the transactions under way, unknown ones included.
	InFlight int `toml:"inFlight"`
	// Tries bounds how often one operation is tried that was not carried out.
	Tries int `toml:"tries"`
	// Timeout is how long one try may take.
	Timeout endive.Interval `toml:"timeout"`
	// Backoff is the mean wait before the second try; it doubles with each try up
	// to MaxBackoff.
	Backoff    endive.Interval `toml:"backoff"`
	MaxBackoff endive.Interval `toml:"maxBackoff"`
	// RetryFraction is how many retries a success earns.
	RetryFraction float64 `toml:"retryFraction"`
	// BreakAfter is how many failures in a row open the circuit breaker.
	BreakAfter int `toml:"breakAfter"`
	// BreakFor is how long an open breaker lets nothing through.
	BreakFor endive.Interval `toml:"breakFor"`
}

// Defaults fills in what was left out.
func (s *Settings) Defaults() {
	defaultCount(&s.InFlight, DefaultInFlight)
	defaultCount(&s.Tries, DefaultTries)
	defaultCount(&s.BreakAfter, DefaultBreakAfter)
	s.Timeout.Default(DefaultTimeout)
	s.Backoff.Default(DefaultBackoff)
	s.MaxBackoff.Default(DefaultMaxBackoff)
	s.BreakFor.Default(DefaultBreakFor)
	if s.RetryFraction == 0 {
		s.RetryFraction = DefaultRetryFraction
	}
}

// Validate adds everything wrong with s to f, below place.
func (s Settings) Validate(f *endive.Findings, path string) {
	counts := []struct {
		name  string
		value int
	}{{"inFlight", s.InFlight}, {"tries", s.Tries}, {"breakAfter", s.BreakAfter}}
	for _, one := range counts {
		if one.value < 1 {
			f.Add(path+"."+one.name, "is %d; it must be at least 1", one.value)
		}
	}
	intervals := []struct {
		name  string
		value endive.Interval
	}{
		{"timeout", s.Timeout}, {"backoff", s.Backoff},
		{"maxBackoff", s.MaxBackoff}, {"breakFor", s.BreakFor},
	}
	for _, one := range intervals {
		if one.value <= 0 {
			f.Add(path+"."+one.name, "is %s; it must be above 0", one.value)
		}
	}
	if s.RetryFraction < 0 || s.RetryFraction > 1 {
		f.Add(path+".retryFraction", "is %g; it must be 0 to 1", s.RetryFraction)
	}
}

func defaultCount(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
