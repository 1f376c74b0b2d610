package main

import (
	"net"
	"sync"
	"time"
)

// mode says what a proxy does with the bytes that pass.
type mode int

const (
	modePass mode = iota
	// modeDelay holds bytes up for a while.
	modeDelay
	// modeSilent drops all bytes; connections stay open.
	modeSilent
	// modeOneWay drops what the far side answers.
	modeOneWay
)

// delay is how long bytes are held up in modeDelay.
const delay = 150 * time.Millisecond

// proxy passes the connections of a loopback address on to another.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// retarget passes new connections on to another address.
func (p *proxy) retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without lingering, closing sends a reset.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go (&pipe{proxy: p, near: conn}).run()
	}
}

func (p *proxy) keep(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

// pipe is one connection through a proxy.
type pipe struct {
	proxy     *proxy
	near, far net.Conn
}

func (c *pipe) run() {
	c.proxy.mu.Lock()
	target := c.proxy.target
	c.proxy.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.near.Close()
		return
	}
	c.far = far
	c.proxy.keep(c.near)
	c.proxy.keep(far)
	go (&flow{proxy: c.proxy, from: far, to: c.near, back: true}).run()
	(&flow{proxy: c.proxy, from: c.near, to: far}).run()
}

// flow copies one direction of a connection.
type flow struct {
	proxy    *proxy
	from, to net.Conn
	back     bool
}

func (f *flow) run() {
	defer f.from.Close()
	defer f.to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := f.from.Read(buffer)
		switch m := f.proxy.current(); {
		case m == modeSilent, m == modeOneWay && f.back:
			n = 0
		case m == modeDelay:
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := f.to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
