package guard

import (
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newPipe returns a guarded connection that was opened at openedAt. Its peer discards all
// bytes.
func newPipe(t *testing.T, openedAt time.Time) *Conn {
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = local.Close(); _ = remote.Close() })
	go (&sink{remote}).run()
	return &Conn{Conn: local, openedAt: openedAt}
}

// sink reads and discards the bytes of a connection.
type sink struct{ net.Conn }

func (s *sink) run() {
	buffer := make([]byte, 64)
	for {
		if _, err := s.Read(buffer); err != nil {
			return
		}
	}
}

func canWrite(c *Conn) bool {
	_, err := c.Write([]byte("x"))
	return err == nil
}

func TestAttempt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	old, first, second := newPipe(t, now.Add(-time.Second)), newPipe(t, now), newPipe(t, now)
	is.True(!canWrite(first)) // no attempt owns it

	a := NewAttempt(now)
	a.gotConn(httptrace.GotConnInfo{Conn: old})
	is.True(a.Stale())
	is.True(!canWrite(old)) // opened before notBefore

	a.gotConn(httptrace.GotConnInfo{Conn: first})
	is.True(canWrite(first))
	is.True(canWrite(first))
	a.gotConn(httptrace.GotConnInfo{Conn: second})
	is.True(!canWrite(second)) // an attempt sends on one connection only

	is.True(a.End())
	is.True(!canWrite(first)) // the attempt has ended

	b := NewAttempt(now)
	unsent := newPipe(t, now)
	b.gotConn(httptrace.GotConnInfo{Conn: unsent})
	is.True(!b.End())
	is.True(!canWrite(unsent)) // the attempt ended before it sent a byte

	c := NewAttempt(now)
	untracked, _ := net.Pipe()
	c.gotConn(httptrace.GotConnInfo{Conn: untracked})
	is.True(c.End()) // a connection that is not a Conn may have sent bytes
}

// An attempt that ends doesn't close a connection that was since assigned to another
// attempt.
func TestEndedAttemptKeepsReassignedConnOpen(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	conn := newPipe(t, now)
	a, b := NewAttempt(now), NewAttempt(now)
	a.gotConn(httptrace.GotConnInfo{Conn: conn})
	is.True(canWrite(conn))
	b.gotConn(httptrace.GotConnInfo{Conn: conn})
	is.True(a.End())
	is.True(canWrite(conn))
	is.True(b.End())
	is.True(!canWrite(conn))
}
