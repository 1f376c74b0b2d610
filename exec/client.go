package exec

import (
	"context"
	"net/http"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/guard"
	"endiveroute.example/endive/rest"
)

// Client implements endive.Executors over HTTP. It is safe for concurrent use.
type Client struct {
	settings guard.Settings
	clock    endive.Clock
	region   endive.Region
	suspects *guard.SuspectConns

	mu    sync.Mutex
	pools map[endive.Address]*pool
}

var _ endive.Executors = (*Client)(nil)

// New returns a client for all executors. settings.MaxConnections limits the
// connections to each executor for calls that set no limit of their own.
func New(settings guard.Settings, clock endive.Clock, region endive.Region) *Client {
	return &Client{
		settings: settings,
		clock:    clock,
		region:   region,
		suspects: guard.NewSuspectConns(settings.MaxAge),
		pools:    make(map[endive.Address]*pool),
	}
}

// Call implements endive.Executors.
func (c *Client) Call(ctx context.Context, call endive.Call) endive.Reply {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	p := c.acquirePool(call)
	answer, err := rest.Exchange(ctx, p.transport, rest.Request{
		Method:          http.MethodPost,
		Address:         call.Address,
		Path:            "/v1/execute",
		RequestID:       call.Request,
		AttemptID:       call.Attempt,
		Service:         call.Service,
		Region:          c.region,
		Body:            call.Body,
		MaxResponseBody: call.MaxAnswer,
		NotBefore:       c.notBefore(call),
	})
	c.releasePool(call, p)
	reply := newReply(answer, err)
	if reply.Outcome == endive.Unknown {
		c.suspects.MarkSuspect(call.Address, c.clock.Now())
	}
	return reply
}

// notBefore returns the earliest opening time of a connection that may be used
// for a call.
func (c *Client) notBefore(call endive.Call) time.Time {
	now := c.clock.Now()
	if call.FreshConnection {
		return now
	}
	return c.suspects.NotBefore(call.Address, now)
}
