package shell

import (
	"strings"

	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
)

// roleKind returns the kind of a role, by which metrics are tagged: "place" for
// "place/quoting.gogledd".
func roleKind(name string) string {
	kind, _, _ := strings.Cut(name, "/")
	return kind
}

// peerMeter counts messages and bytes sent to peers, by the kind of message and
// by whether the peer is in another region.
type peerMeter struct {
	self  endive.Peer
	scope tally.Scope
}

// Sent implements peer.Meter.
func (m *peerMeter) Sent(to endive.Peer, kind string, size endive.Bytes) {
	cross := "no"
	if to.Region != "" && to.Region != m.self.Region {
		cross = "yes"
	}
	scope := m.scope.Tagged(map[string]string{"message": kind, "crossRegion": cross})
	scope.Counter("peerMessages").Inc(1)
	scope.Counter("peerBytes").Inc(int64(size))
}
