package peer

import (
	"bufio"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// session receives the messages of one peer on an accepted connection.
type session struct {
	conn net.Conn
	mesh *Mesh
}

// readUntilClosed receives messages until the session breaks.
func (s *session) readUntilClosed() {
	defer s.mesh.unregister(s)
	defer s.conn.Close()
	setUserTimeout(s.conn)
	if err := s.readSession(); err != nil {
		s.mesh.log.Debug("accepted session ended", "from", s.conn.RemoteAddr().String(), "error", err.Error())
	}
}

func (s *session) readSession() error {
	mux, err := yamux.Server(s.conn, muxConfig())
	if err != nil {
		return endive.ErrUnavailable.Wrap(err)
	}
	defer mux.Close()
	stream, err := mux.AcceptStream()
	if err != nil {
		return endive.ErrUnavailable.Wrap(err)
	}
	reader := bufio.NewReader(stream)
	hello, err := s.readHello(stream, reader)
	if err != nil {
		return err
	}
	return s.deliverFrames(reader, endive.EntryID(hello.GetEntry()), endive.Incarnation(hello.GetIncarnation()))
}

// readHello reads the first frame, which must be a Hello with the sender's name.
func (s *session) readHello(stream *yamux.Stream, reader *bufio.Reader) (*wire.Hello, error) {
	if err := stream.SetReadDeadline(time.Now().Add(dialTimeout)); err != nil {
		return nil, endive.ErrUnavailable.Wrap(err)
	}
	frame, err := readFrame(reader)
	if err != nil {
		return nil, err
	}
	hello, ok := wire.Unwrap(frame).(*wire.Hello)
	if !ok || hello.GetEntry() == "" {
		return nil, endive.ErrInvalid.New("session.readHello: first frame is not a Hello with an entry name")
	}
	if hello.GetVersion() != messagesVersion {
		return nil, endive.ErrInvalid.New("session.readHello: peer uses protocol version %d; this entry uses version %d", hello.GetVersion(), messagesVersion)
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return nil, endive.ErrUnavailable.Wrap(err)
	}
	return hello, nil
}

// deliverFrames passes received messages to the inbox until reading fails. It skips
// messages of unknown types.
func (s *session) deliverFrames(reader *bufio.Reader, from endive.EntryID, incarnation endive.Incarnation) error {
	for {
		frame, err := readFrame(reader)
		if err != nil {
			return err
		}
		message := wire.Unwrap(frame)
		if message == nil {
			continue
		}
		s.mesh.inbox.Deliver(from, incarnation, message)
	}
}

// readFrame reads one frame. It returns an error if the frame is malformed or too large.
func readFrame(reader *bufio.Reader) (*wire.Frame, error) {
	frame := new(wire.Frame)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	if err := options.UnmarshalFrom(reader, frame); err != nil {
		return nil, endive.ErrInvalid.Wrap(err)
	}
	return frame, nil
}
