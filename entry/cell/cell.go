package cell

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/system"
	"endiveroute.example/endive/flow"
)

// Cell runs one entry. It implements endive.Cell and is safe for concurrent use.
type Cell struct {
	Deps
	system *system.System
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc

	config       *configLoop
	peerConfig   *peerConfigLoop
	workers      *workersLoop
	leases       *leaseLoop
	adviceQueue  *adviceQueue
	peers        *peers
	adviceRouter *adviceRouter
	relayClient  *relayClient
	unconfirmed  unconfirmedSubmissions
	accepted     acceptedSubmissions
	draining     atomic.Bool

	mu    sync.Mutex
	pools map[endive.PoolName]*pool
}

// New returns a cell that is idle until Start.
func New(deps Deps) *Cell {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cell{
		Deps: deps, system: system.New(deps.Log, deps.FlushLog), ctx: ctx, cancel: cancel,
		pools: make(map[endive.PoolName]*pool),
	}
	c.config = &configLoop{cell: c}
	c.peerConfig = &peerConfigLoop{cell: c}
	c.workers = newWorkersLoop(c)
	c.leases = &leaseLoop{cell: c}
	c.adviceQueue = newAdviceQueue(c)
	c.adviceRouter = newAdviceRouter(c)
	c.relayClient = newRelayClient(c)
	c.peers = newPeers(c)
	return c
}

// Start starts the loops that read from the platform and accepts sessions of other entries.
func (c *Cell) Start(peers net.Listener) {
	c.peers.serve(peers)
	go c.peers.run()
	go c.config.run()
	go c.peerConfig.run()
	go c.workers.run()
	go c.leases.run()
	go c.adviceQueue.run()
}

// Ready reports whether the load balancer should send clients to this entry.
func (c *Cell) Ready() bool {
	return !c.draining.Load() && c.config.current() != nil && c.Store.reachable()
}

// Draining reports whether a planned stop of the entry has begun.
func (c *Cell) Draining() bool { return c.draining.Load() }

// MaxBody returns the size limit of request bodies; 0 means the default.
func (c *Cell) MaxBody() endive.Bytes {
	if config := c.config.current(); config != nil {
		return config.MaxBody
	}
	return 0
}

// Drain begins a planned stop: the entry is no longer ready and hands its pools over.
func (c *Cell) Drain() {
	c.draining.Store(true)
	for _, p := range c.allPools() {
		go (&handOver{pool: p}).run()
	}
}

// HoldsNoPool reports whether this entry currently holds none of the pools. A draining entry
// waits for that before it stops: a pool counts as held until its lease is released.
func (c *Cell) HoldsNoPool() bool {
	for _, p := range c.allPools() {
		if p.holding.Load() {
			return false
		}
	}
	return true
}

// Close stops the cell. Further calls have no effect.
func (c *Cell) Close() {
	if c.ctx.Err() != nil {
		return
	}
	c.cancel()
	c.peers.mesh.Close()
	c.system.Shutdown()
}

// allPools returns the pools of all configurations seen so far.
func (c *Cell) allPools() []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	return pools
}

// poolNames returns the names of all pools that this entry has known.
func (c *Cell) poolNames() []endive.PoolName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.pools))
}

// poolNamed returns the pool with a name, or nil.
func (c *Cell) poolNamed(name endive.PoolName) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[name]
}

// addConfiguredPools creates the pools of a new configuration that don't exist yet.
func (c *Cell) addConfiguredPools(config *endive.CellConfig) {
	var added []*pool
	c.mu.Lock()
	for _, configured := range config.Pools {
		if c.pools[configured.Name] == nil {
			p := newPool(c, configured.Name)
			c.pools[configured.Name] = p
			added = append(added, p)
		}
	}
	c.mu.Unlock()
	for _, p := range added {
		p.readLease()
	}
	c.workers.publishAll()
	accounts := flow.AccountsChanged{Accounts: config.Accounts, Pools: len(config.Pools)}
	for _, p := range c.allPools() {
		p.sendToFlow(accounts)
	}
}

// holders returns the entries that hold a pool.
func (c *Cell) holders() map[endive.EntryID]bool {
	holders := make(map[endive.EntryID]bool)
	for _, p := range c.allPools() {
		holders[p.currentHolder()] = true
	}
	return holders
}

// tieBreak returns the sort key of an entry among equally good candidates. Each entry
// computes different keys, so that they don't all choose the same one.
func (c *Cell) tieBreak(id endive.EntryID) uint64 {
	return endive.Rendezvous(id, string(c.Settings.Name))
}

// otherPoolsAcquired returns the number of other pools that this entry holds or is acquiring,
// and the time of the latest of these acquisitions.
func (c *Cell) otherPoolsAcquired(excluded *pool) (int, time.Time) {
	count := 0
	var newest time.Time
	for _, p := range c.allPools() {
		if p != excluded && p.holdingOrAcquiring.Load() {
			count++
			newest = endive.Latest(newest, *p.acquiredAt.Load())
		}
	}
	return count, newest
}

// poolsBefore counts the pools whose names sort before the name of another pool.
func (c *Cell) poolsBefore(other *pool) int {
	count := 0
	for _, p := range c.allPools() {
		if p.name < other.name {
			count++
		}
	}
	return count
}

// sleep waits for the given duration, or until the cell is closed.
func (c *Cell) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}
