package store

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"

	"endiveroute.example/endive"
)

// Client wraps an endive.Table with retries, a circuit breaker and the resolution
// of unknown results. It also carries out the state machines' actions on the
// table. It is safe for concurrent use.
type Client struct {
	table    endive.Table
	clock    endive.Clock
	settings Settings
	prefix   string
	// slots has one element per transaction in flight.
	slots      chan struct{}
	ctx        context.Context
	stop       context.CancelFunc
	operations sync.WaitGroup

	mu sync.Mutex
	// closed is true once Close was called: no operation is started any more.
	closed      bool
	random      *rand.Rand
	freeMarkers []*marker
	markerCount int
	breaker     breaker
	retryBudget retryBudget
	counts      Counts
}

var _ endive.Table = (*Client)(nil)

// New returns a client for one run of an entry. The incarnation must be unique to
// the run. Call Close to stop the client.
func New(table endive.Table, clock endive.Clock, random *rand.Rand, entry endive.EntryID, incarnation endive.Incarnation, settings Settings) *Client {
	ctx, stop := context.WithCancel(context.Background())
	return &Client{
		table:       table,
		clock:       clock,
		settings:    settings,
		prefix:      MarkerPrefix + string(entry) + "/" + string(incarnation) + "/",
		slots:       make(chan struct{}, settings.InFlight),
		ctx:         ctx,
		stop:        stop,
		random:      random,
		breaker:     breaker{threshold: settings.BreakAfter, openInterval: settings.BreakFor},
		retryBudget: retryBudget{fraction: settings.RetryFraction, tokens: maxRetryTokens},
		counts:      Counts{Kinds: make(map[string]Count)},
	}
}

// MarkerPrefix is the prefix of the keys of all marker rows. The entry, its
// incarnation and a number follow.
const MarkerPrefix = "writers/"

// Close cancels all operations in flight and waits until they have ended. Their
// results may stay unknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.stop()
	c.operations.Wait()
}

// Counts returns a copy of the counts of operations since the client's start.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.Kinds = make(map[string]Count, len(c.counts.Kinds))
	for kind, count := range c.counts.Kinds {
		counts.Kinds[kind] = count
	}
	return counts
}

// acquireMarker returns a marker that no transaction in flight uses.
func (c *Client) acquireMarker() *marker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.freeMarkers); n > 0 {
		m := c.freeMarkers[n-1]
		c.freeMarkers = c.freeMarkers[:n-1]
		return m
	}
	c.markerCount++
	return &marker{key: c.prefix + strconv.Itoa(c.markerCount)}
}

// releaseMarker makes a marker available again. The result of its transaction must
// be known.
func (c *Client) releaseMarker(m *marker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freeMarkers = append(c.freeMarkers, m)
}
