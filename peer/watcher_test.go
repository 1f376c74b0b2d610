package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// refusals passes the peers that refuse connections to the test.
type refusals chan endive.Peer

func (r refusals) ConnectionRefused(peer endive.Peer) {
	select {
	case r <- peer:
	default:
	}
}

// A peer has restarted at its address, and its second process ends. The watcher must be notified of that process, not of the
// first one: the pools that it held can be acquired.
func TestWatcherIsNotifiedOfRestartedPeer(t *testing.T) {
	is := is.New(t)
	a, b := newTestPeer(t, "entry-1"), newTestPeer(t, "entry-2")
	refused := make(refusals, 1)
	a.mesh.SetWatcher(refused)
	for _, incarnation := range []endive.Incarnation{"1", "2"} {
		peer := b.addressAs("entry-2")
		peer.Incarnation = incarnation
		a.mesh.SetPeers(endive.Peers{peer})
		is.True(a.mesh.Send("entry-2", &wire.StateAsk{}))
		<-b.inbox
	}
	b.close()
	select {
	case peer := <-refused:
		is.Equal(peer.Incarnation, endive.Incarnation("2"))
	case <-time.After(10 * time.Second):
		t.Fatal("the watcher wasn't notified of the end")
	}
}
