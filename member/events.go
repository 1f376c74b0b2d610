package member

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// InstancesListed is the event that a read of the instance list has ended.
type InstancesListed struct {
	Instances []endive.Instance
	// Unavailable is true if the list couldn't be read.
	Unavailable bool
}

// IsEvent marks InstancesListed as an event.
func (InstancesListed) IsEvent() {}

// EndpointLeaving is the event that an endpoint announced its shutdown to this entry.
type EndpointLeaving struct {
	Endpoint string
}

// IsEvent marks EndpointLeaving as an event.
func (EndpointLeaving) IsEvent() {}

// ReadyChanged is the event that this entry has become ready or unready to serve clients.
type ReadyChanged struct {
	Ready bool
}

// IsEvent marks ReadyChanged as an event.
func (ReadyChanged) IsEvent() {}

// Leave is the event that a planned stop of this entry begins.
type Leave struct{}

// IsEvent marks Leave as an event.
func (Leave) IsEvent() {}

// LoadsChanged is the event of new load figures of services and slices. They are sent once,
// with the next heartbeat to each peer.
type LoadsChanged struct {
	Services []*wire.ServiceLoad
	Slices   []*wire.SliceLoad
}

// IsEvent marks LoadsChanged as an event.
func (LoadsChanged) IsEvent() {}
