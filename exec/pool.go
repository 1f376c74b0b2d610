package exec

import (
	"net/http"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/guard"
)

// idlePoolTTL is how long a pool without calls is kept.
const idlePoolTTL = endive.Interval(10 * time.Minute)

// pool holds the connections to one executor.
type pool struct {
	transport *http.Transport
	limit     int
	lastUsed  time.Time
}

// acquirePool returns the pool for a call. If the connection limit has changed, it
// replaces the pool by a new one. The connections of the old pool are closed when
// they are idle.
func (c *Client) acquirePool(call endive.Call) *pool {
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
			c.evictIdlePools(now)
		} else {
			p.transport.CloseIdleConnections()
		}
		settings := c.settings
		settings.MaxConnections = limit
		p = &pool{transport: guard.NewTransport(settings, c.clock), limit: limit}
		c.pools[call.Address] = p
	}
	p.lastUsed = now
	return p
}

// evictIdlePools removes the pools that had no call within idlePoolTTL. The caller
// must hold c.mu.
func (c *Client) evictIdlePools(now time.Time) {
	for address, p := range c.pools {
		if idlePoolTTL.After(p.lastUsed).Before(now) {
			p.transport.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

// releasePool must be called after each call. If the pool was replaced or
// evicted meanwhile, releasePool closes the pool's idle connections.
func (c *Client) releasePool(call endive.Call, p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[call.Address] != p {
		p.transport.CloseIdleConnections()
	}
}
