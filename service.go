package endive

import "time"

// Defaults and limits of a Service.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	MaxSlots           = 1024
	MaxConnections     = 65536
	DefaultTimeout     = Interval(2 * time.Second)
	MaxTimeout         = Interval(10 * time.Minute)
	DefaultMaxAnswer   = 1 * MiB
	MaxAnswerLimit     = 64 * MiB
)

// Service is the configuration of a service that clients send requests to.
type Service struct {
	Name ServiceName `json:"name" toml:"name"`
	// Removed marks the service as deleted. The resource with its ticket number is
	// kept, so that an older ticket can't restore the service.
	Removed bool `json:"removed,omitempty" toml:"removed"`
	// Slots is the number of requests that an executor runs concurrently.
	Slots int `json:"slots" toml:"slots"`
	// Connections is the maximum number of connections to an executor from all
	// entries together.
	Connections int `json:"connections" toml:"connections"`
	// Timeout is the timeout of requests that don't set one.
	Timeout Interval `json:"timeout" toml:"timeout"`
	// MaxAnswer is the maximum size of a response body.
	MaxAnswer Bytes `json:"maxAnswer" toml:"maxAnswer"`
	// NonIdempotent marks each request to the service as non-idempotent, even if the
	// client doesn't.
	NonIdempotent bool `json:"nonIdempotent,omitempty" toml:"nonIdempotent"`
	// ShareEqual runs equal idempotent requests only once if they are waiting at the
	// same time, and returns the response to all of them.
	ShareEqual bool `json:"shareEqual,omitempty" toml:"shareEqual"`
}

// Services are the services that a ticket sets.
type Services []Service

// Defaults sets omitted fields to their defaults.
func (s *Service) Defaults() {
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.Connections == 0 {
		s.Connections = DefaultConnections
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.MaxAnswer == 0 {
		s.MaxAnswer = DefaultMaxAnswer
	}
}

// Validate adds a finding for each invalid field of the service, prefixed with path.
func (s Service) Validate(f *Findings, path string) {
	ValidateName(f, path+".name", string(s.Name))
	if s.Removed {
		return
	}
	ValidateRange(f, path+".slots", int64(s.Slots), 1, MaxSlots)
	ValidateRange(f, path+".connections", int64(s.Connections), 1, MaxConnections)
	ValidateRange(f, path+".maxAnswer", int64(s.MaxAnswer), 1, int64(MaxAnswerLimit))
	if s.Timeout <= 0 || s.Timeout > MaxTimeout {
		f.Add(path+".timeout", "is %s; it must be above 0 and at most %s", s.Timeout, MaxTimeout)
	}
	if s.Connections < s.Slots {
		f.Add(path+".connections", "is %d, less than the %d slots", s.Connections, s.Slots)
	}
	if s.NonIdempotent && s.ShareEqual {
		f.Add(path+".shareEqual", "can't be set together with nonIdempotent: each non-idempotent request needs its own execution")
	}
}
