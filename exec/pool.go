package exec

import (
	"net/http"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/guard"
)

// keepUnused is how long the pool of an executor that gets no calls is kept.
const keepUnused = endive.Interval(10 * time.Minute)

// pool is the connections to one executor.
type pool struct {
	transport *http.Transport
	limit     int
	used      time.Time
}

// take returns the pool for a call. Where the number of connections changes, a
// new pool takes the place of the former one, whose connections are closed as
// soon as they are idle.
func (c *Client) take(call endive.Call) *pool {
	limit := call.Connections
	if limit <= 0 {
		limit = c.settings.MaxConnections
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[call.Address]
	if p == nil || p.limit != limit {
		if p == nil {
			c.dropUnused(now)
		} else {
			p.transport.CloseIdleConnections()
		}
		settings := c.settings
		settings.MaxConnections = limit
		p = &pool{transport: guard.NewTransport(settings, c.clock), limit: limit}
		c.pools[call.Address] = p
	}
	p.used = now
	return p
}

// dropUnused forgets the executors that have got no call for long.
func (c *Client) dropUnused(now time.Time) {
	for address, p := range c.pools {
		if keepUnused.After(p.used).Before(now) {
			p.transport.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

// release ends a call.
func (c *Client) release(call endive.Call, p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[call.Address] != p {
		p.transport.CloseIdleConnections()
	}
}
