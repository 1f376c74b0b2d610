package member

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// InstancesListed is the event of an answer of the instance list.
type InstancesListed struct {
	Instances []endive.Instance
	// Unavailable says that the list could not be read.
	Unavailable bool
}

// IsEvent marks Listed as an event.
func (InstancesListed) IsEvent() {}

// EndpointLeaving is the event of an endpoint that announced its departure to
// this entry.
type EndpointLeaving struct {
	Endpoint string
}

// IsEvent marks EndpointLeaving as an event.
func (EndpointLeaving) IsEvent() {}

// ReadyChanged is the event of this entry starting or ceasing to answer callers.
type ReadyChanged struct {
	Ready bool
}

// IsEvent marks ReadyChanged as an event.
func (ReadyChanged) IsEvent() {}

// Leave is the event of the start of a planned stop of this entry.
type Leave struct{}

// IsEvent marks Leave as an event.
func (Leave) IsEvent() {}

// LoadsChanged is the event of new figures. The next heartbeat to each peer
// carries them, the ones after it don't.
type LoadsChanged struct {
	Services []*wire.ServiceLoad
	Slices   []*wire.SliceLoad
}

// IsEvent marks LoadsChanged as an event.
func (LoadsChanged) IsEvent() {}
