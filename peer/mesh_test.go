package peer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

type delivered struct {
	from    endive.EntryID
	message proto.Message
}

// inbox passes received messages to the test.
type inbox chan delivered

func (i inbox) Deliver(from endive.EntryID, _ endive.Incarnation, message proto.Message) {
	i <- delivered{from, message}
}

type noMeter struct{}

func (noMeter) Sent(endive.Peer, string, endive.Bytes) {}

// testPeer is a mesh with its listener and inbox.
type testPeer struct {
	mesh     *Mesh
	listener net.Listener
	inbox    inbox
}

func newTestPeer(t *testing.T, id endive.EntryID) *testPeer {
	t.Helper()
	return newTestPeerOn(t, id, listen(t))
}

// listen returns a listener on a loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func newTestPeerOn(t *testing.T, id endive.EntryID, listener net.Listener) *testPeer {
	t.Helper()
	s := &testPeer{listener: listener, inbox: make(inbox, 16)}
	s.mesh = New(endive.Peer{ID: id, Incarnation: "1"}, s.inbox, noMeter{}, hclog.NewNullLogger())
	t.Cleanup(s.close)
	go s.acceptSessions()
	return s
}

func (s *testPeer) acceptSessions() { s.mesh.Serve(s.listener) }

func (s *testPeer) close() {
	s.listener.Close()
	s.mesh.Close()
}

func (s *testPeer) addressAs(id endive.EntryID) endive.Peer {
	return endive.Peer{ID: id, Address: endive.Address(s.listener.Addr().String())}
}

func TestMeshDeliversMessagesBothWays(t *testing.T) {
	is := is.New(t)
	a, b := newTestPeer(t, "entry-1"), newTestPeer(t, "entry-2")
	peers := endive.Peers{a.addressAs("entry-1"), b.addressAs("entry-2")}
	a.mesh.SetPeers(peers)
	b.mesh.SetPeers(peers)
	is.True(a.mesh.Send("entry-2", &wire.JobNotice{Slice: "quoting.gogledd", Job: "j1"}))
	got := <-b.inbox
	is.Equal(got.from, endive.EntryID("entry-1"))
	is.Equal(got.message.(*wire.JobNotice).GetJob(), "j1")
	is.True(b.mesh.Send("entry-1", &wire.StateAsk{}))
	_, ok := (<-a.inbox).message.(*wire.StateAsk)
	is.True(ok)
	is.True(!a.mesh.Send("entry-9", &wire.StateAsk{})) // the peer is unknown
}

// exhaustedListener fails to accept the first connections, as in a process with too many open files.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// A listener that fails once must go on to accept sessions; the entry got none any more until it restarted.
func TestMeshAcceptsSessionsAfterFailure(t *testing.T) {
	is := is.New(t)
	a := newTestPeer(t, "entry-1")
	b := newTestPeerOn(t, "entry-2", &exhaustedListener{Listener: listen(t), failures: 2})
	a.mesh.SetPeers(endive.Peers{b.addressAs("entry-2")})
	is.True(a.mesh.Send("entry-2", &wire.StateAsk{}))
	select {
	case got := <-b.inbox:
		is.Equal(got.from, endive.EntryID("entry-1"))
	case <-time.After(10 * time.Second):
		t.Fatal("no message was delivered")
	}
}

func TestMeshReconnectsWhenAddressChanges(t *testing.T) {
	is := is.New(t)
	a, old, replaced := newTestPeer(t, "entry-1"), newTestPeer(t, "entry-2"), newTestPeer(t, "entry-2")
	a.mesh.SetPeers(endive.Peers{old.addressAs("entry-2")})
	is.True(a.mesh.Send("entry-2", &wire.StateAsk{}))
	<-old.inbox
	a.mesh.SetPeers(endive.Peers{replaced.addressAs("entry-2")})
	is.True(a.mesh.Send("entry-2", &wire.StateAsk{}))
	<-replaced.inbox
}

// The session of a peer that violates the protocol must be closed, and none of the peer's
// messages may be delivered.
func TestMeshClosesInvalidSessions(t *testing.T) {
	tests := []struct {
		name  string
		write func(stream net.Conn) error
	}{
		{"no hello", func(stream net.Conn) error {
			_, err := protodelim.MarshalTo(stream, wire.Wrap(&wire.StateAsk{}))
			return err
		}},
		{"other version", func(stream net.Conn) error {
			_, err := protodelim.MarshalTo(stream, wire.Wrap(&wire.Hello{Entry: "entry-9", Version: messagesVersion + 1}))
			return err
		}},
		{"no entry name", func(stream net.Conn) error {
			_, err := protodelim.MarshalTo(stream, wire.Wrap(&wire.Hello{Version: messagesVersion}))
			return err
		}},
		{"oversize frame", func(stream net.Conn) error {
			hello := wire.Wrap(&wire.Hello{Entry: "entry-9", Version: messagesVersion})
			if _, err := protodelim.MarshalTo(stream, hello); err != nil {
				return err
			}
			_, err := stream.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
			return err
		}},
		{"malformed frame", func(stream net.Conn) error {
			hello := wire.Wrap(&wire.Hello{Entry: "entry-9", Version: messagesVersion})
			if _, err := protodelim.MarshalTo(stream, hello); err != nil {
				return err
			}
			_, err := stream.Write([]byte{2, 0xff, 0xff})
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newTestPeer(t, "entry-1")
			conn, err := net.Dial("tcp", a.listener.Addr().String())
			is.NoErr(err)
			session, err := yamux.Client(conn, muxConfig())
			is.NoErr(err)
			defer session.Close()
			stream, err := session.OpenStream()
			is.NoErr(err)
			if err := tt.write(stream); err != nil {
				is.True(session.IsClosed()) // the mesh closed the session before the write
			}
			<-session.CloseChan() // the mesh closes the session
			is.Equal(len(a.inbox), 0)
		})
	}
}
