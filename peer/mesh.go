package peer

import (
	"errors"
	"net"
	"sync"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// Mesh holds the sessions of one entry with its peers. It is safe for concurrent
// use.
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

// New returns a mesh without peers. The inbox takes what comes in; meter counts
// what goes out.
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

// SetWatcher has a watcher told of peers whose processes have ended. It is called before
// the first SetPeers.
func (m *Mesh) SetWatcher(watcher Watcher) { m.watcher = watcher }

// SetPeers opens sessions to new peers, and ends those to peers that are gone or
// have another address. This entry itself is passed over.
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
			l.close()
			delete(m.links, id)
		}
	}
}

func (m *Mesh) setPeer(p endive.Peer) {
	old, ok := m.links[p.ID]
	if ok && old.address == p.Address {
		return
	}
	if ok {
		old.close()
	}
	l := newLink(m.self, p, m.meter, m.watcher, m.log)
	m.links[p.ID] = l
	go l.run()
}

// Send queues a message for a peer. It never blocks; it reports false where the
// peer is unknown or its queue is full, and the message is lost.
func (m *Mesh) Send(to endive.EntryID, message proto.Message) bool {
	m.mu.Lock()
	l, ok := m.links[to]
	m.mu.Unlock()
	if !ok {
		return false
	}
	frame := wire.Wrap(message)
	if frame == nil {
		m.log.Error("message of an unknown type", "type", string(message.ProtoReflect().Descriptor().Name()))
		return false
	}
	return l.send(frame)
}

// Serve accepts sessions until the listener is closed.
func (m *Mesh) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return endive.ErrUnavailable.Wrap(err)
		}
		s := &session{conn: conn, mesh: m}
		if !m.admit(s) {
			conn.Close()
			continue
		}
		go s.run()
	}
}

// admit keeps a session so that Close can end it.
func (m *Mesh) admit(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClosed() {
		return false
	}
	m.accepted[s] = true
	return true
}

func (m *Mesh) forget(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepted, s)
}

// Close ends all sessions.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClosed() {
		return
	}
	close(m.closed)
	for _, l := range m.links {
		l.close()
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
