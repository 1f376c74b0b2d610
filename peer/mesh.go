package peer

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// Mesh holds the sessions between one entry and its peers. It is safe for concurrent use.
type Mesh struct {
	self   endive.Peer
	inbox  Inbox
	meter  Meter
	log    hclog.Logger
	closed chan struct{}
	// watcher may be nil.
	watcher Watcher

	mu       sync.Mutex
	links    map[endive.EntryID]*link
	accepted map[*session]bool
}

// New returns a mesh without peers. The inbox receives the messages of peers, and the meter
// counts sent frames.
func New(self endive.Peer, inbox Inbox, meter Meter, log hclog.Logger) *Mesh {
	return &Mesh{
		self:     self,
		inbox:    inbox,
		meter:    meter,
		log:      log.Named("peer"),
		closed:   make(chan struct{}),
		links:    make(map[endive.EntryID]*link),
		accepted: make(map[*session]bool),
	}
}

// SetWatcher sets the watcher that is notified when a peer's process has ended. It must be
// called before the first SetPeers.
func (m *Mesh) SetWatcher(watcher Watcher) { m.watcher = watcher }

// SetPeers opens links to new peers and stops those to peers that were removed or have
// another address. A peer that has restarted at its address keeps its link. SetPeers ignores this entry itself.
func (m *Mesh) SetPeers(peers endive.Peers) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClosed() {
		return
	}
	wanted := make(map[endive.EntryID]bool, len(peers))
	for _, p := range peers {
		if p.ID == m.self.ID || p.Address == "" {
			continue
		}
		wanted[p.ID] = true
		m.setPeer(p)
	}
	for id, l := range m.links {
		if !wanted[id] {
			l.stop()
			delete(m.links, id)
		}
	}
}

func (m *Mesh) setPeer(p endive.Peer) {
	old, ok := m.links[p.ID]
	if ok && old.address == p.Address {
		old.peer.Store(&p)
		return
	}
	if ok {
		old.stop()
	}
	l := newLink(m.self, p, m.meter, m.watcher, m.log)
	m.links[p.ID] = l
	go l.run()
}

// Send queues a message for a peer. It never blocks. It returns false and drops the message
// if the peer is unknown or its queue is full.
func (m *Mesh) Send(to endive.EntryID, message proto.Message) bool {
	m.mu.Lock()
	l, ok := m.links[to]
	m.mu.Unlock()
	if !ok {
		return false
	}
	frame := wire.Wrap(message)
	if frame == nil {
		m.log.Error("message type missing from wire.Wrap; message not sent", "type", string(message.ProtoReflect().Descriptor().Name()))
		return false
	}
	return l.send(frame)
}

// acceptRetryDelay is the pause after a session couldn't be accepted.
const acceptRetryDelay = 100 * time.Millisecond

// Serve accepts sessions until the listener or the mesh is closed. A failure to accept one, for example
// because the process has too many open files, doesn't end it.
func (m *Mesh) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.Warn("can't accept a session, will retry", "error", err.Error())
			select {
			case <-m.closed:
				return
			case <-time.After(acceptRetryDelay):
				continue
			}
		}
		s := &session{conn: conn, mesh: m}
		if !m.register(s) {
			conn.Close()
			continue
		}
		go s.readUntilClosed()
	}
}

// register records an accepted session so that Close can end it. It returns false if the
// mesh is closed.
func (m *Mesh) register(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClosed() {
		return false
	}
	m.accepted[s] = true
	return true
}

func (m *Mesh) unregister(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepted, s)
}

// Close stops all links and closes all accepted sessions.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClosed() {
		return
	}
	close(m.closed)
	for _, l := range m.links {
		l.stop()
	}
	for s := range m.accepted {
		s.conn.Close()
	}
}

func (m *Mesh) isClosed() bool {
	select {
	case <-m.closed:
		return true
	default:
		return false
	}
}
