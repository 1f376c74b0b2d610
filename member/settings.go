package member

import (
	"time"

	"endiveroute.example/endive"
)

// Defaults of Settings.
const (
	DefaultHeartbeat = endive.Interval(time.Second)
	DefaultList      = endive.Interval(time.Second)
)

// Settings are the intervals of a Machine.
type Settings struct {
	// Heartbeat is the interval between two heartbeats to a peer.
	Heartbeat endive.Interval
	// List is the interval between two reads of the instance list.
	List endive.Interval
}

// Defaults replaces zero values with the defaults.
func (s *Settings) Defaults() {
	s.Heartbeat.Default(DefaultHeartbeat)
	s.List.Default(DefaultList)
}
