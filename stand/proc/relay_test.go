package proc

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards the connections of one entry to a peer. While it is cut, it
// drops data without closing connections, like a network device that has lost its
// connection table. Connections on which data was dropped never work again.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	t.Cleanup(r.close)
	go r.acceptConns()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setCut cuts or restores the relay.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
}

func (r *relay) acceptConns() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.addConn(from)
		if r.isCut() {
			continue // accepts the connection, but never forwards its data
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			from.Close()
			continue
		}
		r.addConn(to)
		go (&direction{relay: r, from: from, to: to}).copyData()
		go (&direction{relay: r, from: to, to: from}).copyData()
	}
}

func (r *relay) addConn(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

// direction copies the data of one direction of a connection.
type direction struct {
	relay    *relay
	from, to net.Conn
	broken   bool
}

func (d *direction) copyData() {
	defer d.from.Close()
	defer d.to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := d.from.Read(buffer)
		d.broken = d.broken || d.relay.isCut()
		if n > 0 && !d.broken {
			if _, err := d.to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && d.broken {
			return
		}
		if err != nil {
			return
		}
	}
}
