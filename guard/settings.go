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

// keepAliveProbes is the number of unanswered TCP keepalive probes after which the kernel
// closes a connection.
const keepAliveProbes = 3

// Settings limits the connections to other processes.
type Settings struct {
	// MaxConnections is the maximum number of open connections to one address.
	MaxConnections int `toml:"connections"`
	// MaxIdle is the maximum number of idle connections to all addresses together; 0 means no
	// limit. The least recently used ones are closed.
	MaxIdle int `toml:"idleConnections"`
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout endive.Interval `toml:"idle"`
	// MaxAge is how long after its opening a connection is used for new requests.
	MaxAge endive.Interval `toml:"age"`
	// DialTimeout is the timeout for opening a connection.
	DialTimeout endive.Interval `toml:"dial"`
	// KeepAlive is the time between two TCP keepalive probes.
	KeepAlive endive.Interval `toml:"keepAlive"`
	// UserTimeout is how long sent bytes may stay unacknowledged before the kernel closes
	// the connection (TCP_USER_TIMEOUT).
	UserTimeout endive.Interval `toml:"userTimeout"`
}

// Defaults replaces zero values with the defaults.
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

// Validate adds a finding for each invalid setting. path is the configuration path of the
// settings.
func (s Settings) Validate(f *endive.Findings, path string) {
	if s.MaxConnections < 1 {
		f.Add(path+".connections", "is %d; it must be at least 1", s.MaxConnections)
	}
	intervals := []struct {
		name  string
		value endive.Interval
	}{
		{"idle", s.IdleTimeout}, {"age", s.MaxAge}, {"dial", s.DialTimeout},
		{"keepAlive", s.KeepAlive}, {"userTimeout", s.UserTimeout},
	}
	for _, interval := range intervals {
		if interval.value <= 0 {
			f.Add(path+"."+interval.name, "is %s; it must be above 0", interval.value)
		}
	}
}
