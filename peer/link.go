package peer

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// link sends to one peer, over one session after another.
type link struct {
	self    endive.Peer
	peer    endive.Peer
	address endive.Address
	meter   Meter
	watcher Watcher
	log     hclog.Logger
	queue   chan queued
	done    chan struct{}
	once    sync.Once
}

// queued is a frame that waits for its session.
type queued struct {
	frame *wire.Frame
	// until is when the frame is dropped, so that a session that was opened after
	// a long cut doesn't start with what nobody waits for any more.
	until time.Time
}

func newLink(self, peer endive.Peer, meter Meter, watcher Watcher, log hclog.Logger) *link {
	return &link{
		self:    self,
		peer:    peer,
		address: peer.Address,
		meter:   meter,
		watcher: watcher,
		log:     log.With("peer", string(peer.ID)),
		queue:   make(chan queued, queueLength),
		done:    make(chan struct{}),
	}
}

func (l *link) send(frame *wire.Frame) bool {
	select {
	case l.queue <- queued{frame: frame, until: time.Now().Add(queueTime)}:
		return true
	default:
		return false
	}
}

func (l *link) close() { l.once.Do(l.closeDone) }

func (l *link) closeDone() { close(l.done) }

// run opens sessions until the link is closed. After a session that broke, the next
// is tried at once: if it is refused, the peer's process has ended.
func (l *link) run() {
	for {
		open, err := l.serve()
		if err != nil {
			l.log.Debug("session ended", "error", err.Error())
		}
		if errors.Is(err, syscall.ECONNREFUSED) && l.watcher != nil {
			l.watcher.ConnectionRefused(l.peer)
		}
		pause := redialPause
		if open {
			pause = 0
		}
		select {
		case <-l.done:
			return
		case <-time.After(pause):
		}
	}
}

// serve opens one session and sends on it until it breaks. It reports whether the
// session was open.
func (l *link) serve() (bool, error) {
	conn, err := net.DialTimeout("tcp", string(l.address), dialTimeout)
	if err != nil {
		return false, endive.ErrUnavailable.Wrap(err)
	}
	return true, l.converse(conn)
}

// converse opens a session on a connection and sends on it until it breaks.
func (l *link) converse(conn net.Conn) error {
	bound(conn)
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
	return l.drain(session, stream)
}

// drain writes what is queued until the session breaks or the link is closed.
func (l *link) drain(session *yamux.Session, stream *yamux.Stream) error {
	for {
		select {
		case <-l.done:
			return nil
		case <-session.CloseChan():
			return endive.ErrUnavailable.New("link.drain: session closed")
		case next := <-l.queue:
			if time.Now().After(next.until) {
				continue
			}
			if err := l.write(stream, next.frame); err != nil {
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
	l.meter.Sent(l.peer, frameKind(frame), endive.Bytes(size))
	return nil
}

// frameKind names the message in a frame.
func frameKind(frame *wire.Frame) string {
	message := wire.Unwrap(frame)
	if message == nil {
		return "unknown"
	}
	return string(proto.MessageName(message).Name())
}
