package peer

import "endiveroute.example/endive"

// Watcher is notified when a peer's process has ended. ConnectionRefused is called from
// several goroutines.
type Watcher interface {
	// ConnectionRefused reports that no process listens at the peer's address any more.
	ConnectionRefused(peer endive.Peer)
}
