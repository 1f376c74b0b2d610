package peer

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// link sends frames to one peer. When the session breaks, the link opens a new one.
type link struct {
	self endive.Peer
	// peer is the peer as known last: after a restart it has another incarnation.
	peer     atomic.Pointer[endive.Peer]
	address  endive.Address
	meter    Meter
	watcher  Watcher
	log      hclog.Logger
	frames   chan queuedFrame
	stopped  chan struct{}
	stopOnce sync.Once
}

// queuedFrame is a frame that waits to be sent.
type queuedFrame struct {
	frame *wire.Frame
	// expiry is when the frame is dropped. Without it, a session that opens after a long
	// network failure would first send outdated frames.
	expiry time.Time
}

func newLink(self, peer endive.Peer, meter Meter, watcher Watcher, log hclog.Logger) *link {
	l := &link{
		self:    self,
		address: peer.Address,
		meter:   meter,
		watcher: watcher,
		log:     log.With("peer", string(peer.ID)),
		frames:  make(chan queuedFrame, queueLength),
		stopped: make(chan struct{}),
	}
	l.peer.Store(&peer)
	return l
}

func (l *link) send(frame *wire.Frame) bool {
	select {
	case l.frames <- queuedFrame{frame: frame, expiry: time.Now().Add(queueTimeout)}:
		return true
	default:
		return false
	}
}

func (l *link) stop() { l.stopOnce.Do(l.closeStopped) }

func (l *link) closeStopped() { close(l.stopped) }

// run opens sessions until the link is stopped. When a session breaks, run reconnects at
// once: if the connection is refused, the peer's process has ended.
func (l *link) run() {
	for {
		dialed := *l.peer.Load()
		open, err := l.runSession()
		if err != nil {
			l.log.Debug("session ended", "error", err.Error())
		}
		if errors.Is(err, syscall.ECONNREFUSED) && l.watcher != nil {
			l.watcher.ConnectionRefused(dialed)
		}
		pause := redialPause
		if open {
			pause = 0
		}
		select {
		case <-l.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// runSession opens a session and sends on it until the session breaks. It reports whether a
// connection was opened.
func (l *link) runSession() (bool, error) {
	conn, err := net.DialTimeout("tcp", string(l.address), dialTimeout)
	if err != nil {
		return false, endive.ErrUnavailable.Wrap(err)
	}
	return true, l.sendOn(conn)
}

// sendOn opens a yamux session on a connection and sends on it until the session breaks.
func (l *link) sendOn(conn net.Conn) error {
	setUserTimeout(conn)
	session, err := yamux.Client(conn, muxConfig())
	if err != nil {
		conn.Close()
		return endive.ErrUnavailable.Wrap(err)
	}
	defer session.Close()
	stream, err := session.OpenStream()
	if err != nil {
		return endive.ErrUnavailable.Wrap(err)
	}
	hello := &wire.Hello{Entry: string(l.self.ID), Incarnation: string(l.self.Incarnation), Version: messagesVersion}
	if err := l.write(stream, wire.Wrap(hello)); err != nil {
		return err
	}
	return l.writeQueue(session, stream)
}

// writeQueue writes queued frames until the session breaks or the link is stopped.
func (l *link) writeQueue(session *yamux.Session, stream *yamux.Stream) error {
	for {
		select {
		case <-l.stopped:
			return nil
		case <-session.CloseChan():
			return endive.ErrUnavailable.New("link.writeQueue: session closed")
		case queued := <-l.frames:
			if time.Now().After(queued.expiry) {
				continue
			}
			if err := l.write(stream, queued.frame); err != nil {
				return err
			}
		}
	}
}

func (l *link) write(stream *yamux.Stream, frame *wire.Frame) error {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return endive.ErrUnavailable.Wrap(err)
	}
	size, err := protodelim.MarshalTo(stream, frame)
	if err != nil {
		return endive.ErrUnavailable.Wrap(err)
	}
	l.meter.Sent(*l.peer.Load(), frameKind(frame), endive.Bytes(size))
	return nil
}

// frameKind returns the name of the message type in a frame.
func frameKind(frame *wire.Frame) string {
	message := wire.Unwrap(frame)
	if message == nil {
		return "unknown"
	}
	return string(proto.MessageName(message).Name())
}
