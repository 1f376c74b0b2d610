package serve

import (
	"net"
	"sync"
)

// Listener limits the number of open connections of a net.Listener. Further
// connections wait in the operating system's accept queue.
type Listener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// NewListener returns a Listener that allows the given number of open
// connections.
func NewListener(inner net.Listener, connections int) *Listener {
	return &Listener{Listener: inner, slots: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, listener: l}, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection that frees its slot in the Listener when it is
// closed.
type limitedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.listener.slots })
	return err
}
