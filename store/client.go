package store

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"

	"endiveroute.example/endive"
)

// Client implements endive.Table above another Table, and carries out the
// table's actions of the machines. It is safe for concurrent use.
type Client struct {
	table    endive.Table
	clock    endive.Clock
	settings Settings
	prefix   string
	// slots has one element per transaction under way.
	slots      chan struct{}
	ctx        context.Context
	stop       context.CancelFunc
	operations sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	freeMarkers []*marker
	markerCount int
	breaker     breaker
	retryBudget retryBudget
	counts      Counts
}

var _ endive.Table = (*Client)(nil)

// New returns a client for one run of an entry, whose incarnation must be
// unique. Close must be called to end it.
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

// MarkerPrefix is the prefix of the keys of all marker rows. Below it follow the
// entry and its incarnation.
const MarkerPrefix = "writers/"

// Close ends everything under way without an answer, and waits for it.
func (c *Client) Close() {
	c.stop()
	c.operations.Wait()
}

// Counts returns what was asked of the table service until now.
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

// acquireMarker returns a marker that no other transaction uses.
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

// releaseMarker gives a marker back whose transaction is known.
func (c *Client) releaseMarker(m *marker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freeMarkers = append(c.freeMarkers, m)
}
