package client

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// ErrUnreachable is the class of errors where no entry could be connected to, so that
// nothing was sent.
var ErrUnreachable = errs.Class("unreachable")

// Limits of the connections of a Client.
const (
	dialTimeout        = 1 * time.Second
	keepAlive          = 5 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 1024
	maxHeaderBytes     = 64 << 10
	deadlineGrace      = 500 * time.Millisecond
)

// Client calls the entries at its addresses. It spreads calls over them round-robin, and
// tries the following addresses after a failure only if the call can't take effect
// twice. A Client is safe for concurrent use.
type Client struct {
	addresses []endive.Address
	clock     endive.Clock
	http      *http.Client
	nextCall  atomic.Uint64
}

// New returns a Client for one or more entries.
func New(clock endive.Clock, addresses ...endive.Address) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &Client{
		addresses: addresses,
		clock:     clock,
		http: &http.Client{
			// Following a redirect would send the request a second time.
			CheckRedirect: returnRedirect,
			Transport: &http.Transport{
				DialContext:            dialer.DialContext,
				MaxIdleConns:           maxIdleConnections,
				MaxIdleConnsPerHost:    maxIdleConnections,
				IdleConnTimeout:        idleTimeout,
				MaxResponseHeaderBytes: maxHeaderBytes,
				DisableCompression:     true,
			},
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// returnRedirect makes the HTTP client return a redirect as the response.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
