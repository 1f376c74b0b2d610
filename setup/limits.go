package setup

import "endiveroute.example/endive"

// Limits bounds the concurrent work of an entry.
type Limits struct {
	// Connections is the maximum number of client connections, and separately
	// the maximum number of operator connections.
	Connections int `toml:"connections" json:"connections"`
	// Requests is the maximum number of client requests in flight, queued ones included.
	Requests int `toml:"requests" json:"requests"`
	// Operations is the maximum number of operator calls in flight.
	Operations int `toml:"operations" json:"operations"`
	// BodyMemory is the maximum total size of the bodies of all requests in flight.
	BodyMemory endive.Bytes `toml:"bodyMemory" json:"bodyMemory"`
}

// Defaults and allowed ranges of Limits.
const (
	DefaultLimitConnections = 4096
	DefaultLimitRequests    = 4096
	DefaultLimitOperations  = 128
	DefaultLimitBodyMemory  = 32 * endive.MiB

	MaxLimitConnections = 65536
	MaxLimitRequests    = 65536
	MaxLimitOperations  = 4096
	MinLimitBodyMemory  = 2 * endive.MiB
	MaxLimitBodyMemory  = 1 * endive.GiB
)

// Defaults sets the fields that are 0 to their defaults.
func (l *Limits) Defaults() {
	if l.Connections == 0 {
		l.Connections = DefaultLimitConnections
	}
	if l.Requests == 0 {
		l.Requests = DefaultLimitRequests
	}
	if l.Operations == 0 {
		l.Operations = DefaultLimitOperations
	}
	if l.BodyMemory == 0 {
		l.BodyMemory = DefaultLimitBodyMemory
	}
}

// validate adds a finding for each limit that is out of range.
func (l Limits) validate(f *endive.Findings) {
	endive.ValidateRange(f, "limits.connections", int64(l.Connections), 1, MaxLimitConnections)
	endive.ValidateRange(f, "limits.requests", int64(l.Requests), 1, MaxLimitRequests)
	endive.ValidateRange(f, "limits.operations", int64(l.Operations), 1, MaxLimitOperations)
	endive.ValidateRange(f, "limits.bodyMemory", int64(l.BodyMemory), int64(MinLimitBodyMemory), int64(MaxLimitBodyMemory))
}
