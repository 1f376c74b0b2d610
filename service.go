package endive

import "time"

// Defaults and bounds of a Service.
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

// Service is the configuration of a service that callers ask.
type Service struct {
	Name ServiceName `json:"name" toml:"name"`
	// Removed takes the service out of use. Its version stays, so that an older
	// ticket can't bring it back.
	Removed bool `json:"removed,omitempty" toml:"removed"`
	// Slots is how many requests an executor runs at the same time.
	Slots int `json:"slots" toml:"slots"`
	// Connections is how many connections an executor takes from all entries.
	Connections int `json:"connections" toml:"connections"`
	// Timeout is the deadline of a request that names none.
	Timeout Interval `json:"timeout" toml:"timeout"`
	// MaxAnswer bounds the body of an answer.
	MaxAnswer Bytes `json:"maxAnswer" toml:"maxAnswer"`
	// NonIdempotent marks each request to the service as non-idempotent, even
	// where the caller doesn't.
	NonIdempotent bool `json:"nonIdempotent,omitempty" toml:"nonIdempotent"`
	// ShareEqual lets equal idempotent questions that wait at the same time
	// share one execution.
	ShareEqual bool `json:"shareEqual,omitempty" toml:"shareEqual"`
}

// Services is a list of services.
type Services []Service

// Defaults fills in what was left out.
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

// Validate adds everything wrong with s to f, below place.
func (s Service) Validate(f *Findings, place string) {
	ValidateName(f, place+".name", string(s.Name))
	if s.Removed {
		return
	}
	ValidateRange(f, place+".slots", int64(s.Slots), 1, MaxSlots)
	ValidateRange(f, place+".connections", int64(s.Connections), 1, MaxConnections)
	ValidateRange(f, place+".maxAnswer", int64(s.MaxAnswer), 1, int64(MaxAnswerLimit))
	if s.Timeout <= 0 || s.Timeout > MaxTimeout {
		f.Add(place+".timeout", "is %s; it must be above 0 and at most %s", s.Timeout, MaxTimeout)
	}
	if s.Connections < s.Slots {
		f.Add(place+".connections", "is %d, below the %d slots", s.Connections, s.Slots)
	}
	if s.NonIdempotent && s.ShareEqual {
		f.Add(place+".shareEqual", "can't be set together with nonIdempotent: each request must run for itself")
	}
}
