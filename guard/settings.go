package guard

import (
	"time"

	"endiveroute.example/endive"
)

// Defaults of Settings.
const (
	DefaultMaxConnections = 64
	DefaultIdleTimeout    = endive.Interval(15 * time.Second)
	DefaultMaxAge         = endive.Interval(2 * time.Minute)
	DefaultDialTimeout    = endive.Interval(time.Second)
	DefaultKeepAlive      = endive.Interval(2 * time.Second)
	DefaultUserTimeout    = endive.Interval(5 * time.Second)
)

// keepAliveProbes is how many TCP keepalive probes in a row may go unanswered.
const keepAliveProbes = 3

// Settings bounds the connections to other processes.
type Settings struct {
	// MaxConnections bounds the open connections to one address.
	MaxConnections int `toml:"connections"`
	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout endive.Interval `toml:"idle"`
	// MaxAge is how long after it was opened a connection is given new requests.
	MaxAge endive.Interval `toml:"age"`
	// DialTimeout is how long opening a connection may take.
	DialTimeout endive.Interval `toml:"dial"`
	// KeepAlive is the time between two TCP keepalive probes.
	KeepAlive endive.Interval `toml:"keepAlive"`
	// UserTimeout is how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT) before the connection is broken.
	UserTimeout endive.Interval `toml:"userTimeout"`
}

// Defaults fills in what was left out.
func (s *Settings) Defaults() {
	if s.MaxConnections == 0 {
		s.MaxConnections = DefaultMaxConnections
	}
	s.IdleTimeout.Default(DefaultIdleTimeout)
	s.MaxAge.Default(DefaultMaxAge)
	s.DialTimeout.Default(DefaultDialTimeout)
	s.KeepAlive.Default(DefaultKeepAlive)
	s.UserTimeout.Default(DefaultUserTimeout)
}

// Validate adds everything wrong with s to f, below place.
func (s Settings) Validate(f *endive.Findings, place string) {
	if s.MaxConnections < 1 {
		f.Add(place+".connections", "is %d; it must be at least 1", s.MaxConnections)
	}
	intervals := []struct {
		name  string
		value endive.Interval
	}{
		{"idle", s.IdleTimeout}, {"age", s.MaxAge}, {"dial", s.DialTimeout},
		{"keepAlive", s.KeepAlive}, {"userTimeout", s.UserTimeout},
	}
	for _, one := range intervals {
		if one.value <= 0 {
			f.Add(place+"."+one.name, "is %s; it must be above 0", one.value)
		}
	}
}
