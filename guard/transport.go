package guard

import (
	"context"
	"net"
	"net/http"
	"time"

	"endiveroute.example/endive"
)

// maxHeader is the maximum size of a response header in bytes.
const maxHeader = 64 << 10

// dialer opens connections as Conns.
type dialer struct {
	clock endive.Clock
	net   net.Dialer
}

// NewTransport returns an HTTP/1.1 transport whose connections are Conns. It uses no proxy.
// It requests no compression, so that Content-Length is the length of the body.
func NewTransport(s Settings, clock endive.Clock) *http.Transport {
	keepAlive := time.Duration(s.KeepAlive)
	d := dialer{clock: clock, net: net.Dialer{
		Timeout: time.Duration(s.DialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
		},
		Control: userTimeout(s.UserTimeout),
	}}
	return &http.Transport{
		DialContext:            d.dial,
		DisableCompression:     true,
		MaxIdleConns:           s.MaxIdle,
		MaxIdleConnsPerHost:    s.MaxConnections,
		MaxConnsPerHost:        s.MaxConnections,
		IdleConnTimeout:        time.Duration(s.IdleTimeout),
		MaxResponseHeaderBytes: maxHeader,
	}
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	openedAt := d.clock.Now()
	conn, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, openedAt: openedAt}, nil
}
