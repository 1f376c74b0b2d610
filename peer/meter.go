package peer

import "endiveroute.example/endive"

// Meter counts sent frames.
type Meter interface {
	// Sent counts one frame sent to a peer. kind is the name of the frame's message type,
	// and size includes the length prefix.
	Sent(to endive.Peer, kind string, size endive.Bytes)
}
