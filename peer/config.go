package peer

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sys/unix"
)

const (
	// messagesVersion is the version of the protocol in peer.proto.
	messagesVersion = 1
	// maxFrame is the maximum size of a frame in bytes.
	maxFrame = 4 << 20
	// queueLength is the maximum number of messages queued for one peer.
	queueLength = 4096
	// queueTimeout is how long a message may stay queued before it is dropped.
	queueTimeout = 3 * time.Second
	// dialTimeout is the timeout for opening a connection or stream and for the first
	// frame.
	dialTimeout = 2 * time.Second
	// redialPause is the pause after a failed attempt to open a connection.
	redialPause = 250 * time.Millisecond
	// keepAlive is the period of yamux pings. A session whose ping isn't answered within
	// writeTimeout is closed and replaced.
	keepAlive = 2 * time.Second
	// writeTimeout is the timeout of a write and of the answer to a ping.
	writeTimeout = 2 * time.Second
	// userTimeout is how long sent bytes may stay unacknowledged by TCP.
	userTimeout = 4 * time.Second
	// streamWindow is the flow-control window of a stream in bytes.
	streamWindow = 1 << 20
)

// muxConfig returns the configuration of a yamux session.
func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = true
	config.KeepAliveInterval = keepAlive
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = dialTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = io.Discard
	return config
}

// setUserTimeout makes the kernel close a connection whose bytes aren't acknowledged in
// time. Otherwise a connection whose state was lost at the peer or at a firewall on the
// path stays open for many minutes.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// The connection also works without the option; yamux pings detect a dead peer too.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
