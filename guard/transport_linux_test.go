package guard

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The keepalive and user timeout settings must be set on the socket.
func TestSocketOptions(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	settings := Settings{UserTimeout: endive.Interval(5 * time.Second), KeepAlive: endive.Interval(2 * time.Second)}
	settings.Defaults()
	conn, err := NewTransport(settings, endive.SystemClock{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	raw, err := conn.(*Conn).Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	options := []struct{ level, name, want int }{
		{syscall.IPPROTO_TCP, tcpUserTimeout, 5000},
		{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 2},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, 2},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepAliveProbes},
	}
	is.NoErr(raw.Control(func(fd uintptr) {
		for _, o := range options {
			got, err := syscall.GetsockoptInt(int(fd), o.level, o.name)
			is.NoErr(err)
			is.Equal(got, o.want) // option o.name
		}
	}))
}
