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

// maxRetryTokens is the maximum number of retries in the budget.
const maxRetryTokens = 10

// Settings holds the client's limits, timeouts and retry parameters.
type Settings struct {
	// InFlight is the maximum number of transactions in flight, including those with
	// an unknown result.
	InFlight int `toml:"inFlight"`
	// Tries is the maximum number of attempts of an operation that was not carried
	// out.
	Tries int `toml:"tries"`
	// Timeout is the timeout of one attempt.
	Timeout endive.Interval `toml:"timeout"`
	// Backoff is the mean wait before the second attempt. It doubles with each
	// attempt up to MaxBackoff.
	Backoff    endive.Interval `toml:"backoff"`
	MaxBackoff endive.Interval `toml:"maxBackoff"`
	// RetryFraction is the number of retries that each success adds to the retry
	// budget.
	RetryFraction float64 `toml:"retryFraction"`
	// BreakAfter is the number of consecutive failures that open the circuit
	// breaker.
	BreakAfter int `toml:"breakAfter"`
	// BreakFor is the time between the probes that an open circuit breaker allows.
	BreakFor endive.Interval `toml:"breakFor"`
}

// Defaults sets the fields that are zero to their defaults.
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

// Validate adds a finding for each invalid field. The findings' paths begin
// with path.
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
