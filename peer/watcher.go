package peer

import "endiveroute.example/endive"

// Watcher is told of signs that a peer's process has ended. It is called from
// several goroutines.
type Watcher interface {
	// ConnectionRefused is told that nobody listens any more at a peer's address.
	ConnectionRefused(peer endive.Peer)
}
