package main

import (
	"net"
	"sync"
	"time"
)

// mode determines how a proxy treats the bytes of its connections.
type mode int

const (
	modeForward mode = iota
	// modeDelay forwards bytes after delayTime.
	modeDelay
	// modeDropAll drops the bytes of both directions; connections stay open.
	modeDropAll
	// modeDropResponses drops the bytes that the server sends.
	modeDropResponses
	// modeHold delivers the bytes of both directions when the mode ends.
	modeHold
	// modeRefuse refuses connections.
	modeRefuse
)

// holdPollInterval is the time between two looks at whether modeHold has ended.
const holdPollInterval = 5 * time.Millisecond

// delayTime is the time by which modeDelay delays bytes.
const delayTime = 150 * time.Millisecond

// proxy forwards TCP connections from a loopback address to target.
type proxy struct {
	target string

	mu       sync.Mutex
	listener net.Listener
	mode     mode
	// cutMode comes before mode, unless it is modeForward.
	cutMode mode
	conns   map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	// The port isn't one that the kernel gives to others while the proxy refuses connections.
	address, err := freeAddress(proxyPorts)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.currentListener().Addr().String() }

func (p *proxy) currentListener() net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutMode != modeForward {
		return p.cutMode
	}
	return p.mode
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger time of 0, Close sends a TCP reset.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) run() {
	listener := p.currentListener()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go (&proxyConn{proxy: p, client: conn}).run()
	}
}

func (p *proxy) track(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

// proxyConn is a client's connection and the proxy's own connection to the server.
type proxyConn struct {
	proxy          *proxy
	client, server net.Conn
}

func (c *proxyConn) run() {
	server, err := net.Dial("tcp", c.proxy.target)
	if err != nil {
		_ = c.client.Close()
		return
	}
	c.server = server
	c.proxy.track(c.client)
	c.proxy.track(server)
	go (&copier{proxy: c.proxy, source: server, destination: c.client, responses: true}).run()
	(&copier{proxy: c.proxy, source: c.client, destination: server}).run()
}

// copier copies the bytes of one direction of a proxied connection.
type copier struct {
	proxy               *proxy
	source, destination net.Conn
	responses           bool
}

func (c *copier) run() {
	defer c.source.Close()
	defer c.destination.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.source.Read(buffer)
		for c.proxy.currentMode() == modeHold {
			time.Sleep(holdPollInterval)
		}
		switch m := c.proxy.currentMode(); {
		case m == modeDropAll, m == modeDropResponses && c.responses:
			n = 0
		case m == modeDelay:
			time.Sleep(delayTime)
		}
		if n > 0 {
			if _, err := c.destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
