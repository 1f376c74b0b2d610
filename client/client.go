package client

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// ErrUnreachable is the class of errors that mean that no entry could be
// connected to, so that nothing was done.
var ErrUnreachable = errs.Class("unreachable")

// Bounds of a client's maxIdleConnections.
const (
	dialTimeout        = 1 * time.Second
	keepAlive          = 5 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 1024
	maxHeaderBytes     = 64 << 10
	deadlineGrace      = 500 * time.Millisecond
)

// Client calls the entries at some addresses. Each call begins with the next
// address in turn, and tries the ones behind it only where nothing can be done
// twice by that. A Client is safe for concurrent use.
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
			// A redirect would send a request again.
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

// returnRedirect makes a redirect the answer.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
