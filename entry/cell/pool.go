package cell

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/quota"
	"endiveroute.example/endive/share"
	"endiveroute.example/endive/speed"
)

// pool is the actor that owns the two state machines of a pool: elect decides which entry
// holds the pool, flow makes the holder's decisions.
type pool struct {
	name       endive.PoolName
	cell       *Cell
	pid        *actor.PID
	elect      *elect.Machine
	flow       *flow.Machine
	wakeTimers [2]*time.Timer
	// follower reads the rows of the current tenure; nil without one.
	follower *workFollower
	// successor is the entry that gets the pool's state when this entry releases the
	// pool; empty for none. releasedLease is the lease's row as of the release.
	successor     atomic.Value
	releasedLease elect.LeaseRow
	// states has the published states of the pool's workflows while this entry holds the pool.
	states workflowStates
	// holderBackoffUntil is the end of the pause in state requests to a holder that didn't answer.
	holderBackoffUntil atomic.Pointer[time.Time]
	// handedOver is the state that the previous holder sent to this entry, or nil.
	handedOver atomic.Pointer[flow.PoolSnapshot]
	// status is the last status that the pool's holder wrote to the store.
	status atomic.Pointer[flow.Status]
	// holding mirrors whether this entry holds the pool.
	holding atomic.Bool
	// holder is the entry that holds the pool according to the last lease row read.
	holder atomic.Value
	// holdingOrAcquiring mirrors whether this entry holds the pool or tries to acquire it.
	holdingOrAcquiring atomic.Bool
	// acquiredAt is the time of the last change of holdingOrAcquiring.
	acquiredAt atomic.Pointer[time.Time]
}

// message carries an event to one of a pool's state machines.
type message struct {
	machine machineKind
	event   endive.Event
}

// machineKind selects one of a pool's state machines.
type machineKind int

const (
	electMachine machineKind = iota
	flowMachine
)

func newPool(c *Cell, name endive.PoolName) *pool {
	id := c.Settings.Name
	p := &pool{name: name, cell: c}
	p.holderBackoffUntil.Store(&time.Time{})
	p.status.Store(&flow.Status{})
	p.holder.Store(endive.EntryID(""))
	p.successor.Store(endive.EntryID(""))
	p.elect = elect.New(id, c.Incarnation, name, p.fenceWrite, p.acquireAt, elect.Settings{
		Lease: c.Settings.Timings.PoolLease, Renewal: c.Settings.Timings.PoolLease / renewalsPerLease, Retry: electRetryDelay,
	}, c.Platform, endive.NewWriteIDs(id, c.Incarnation, "elect."+string(name)))
	division := quota.NewStored(name, endive.NewWriteIDs(id, c.Incarnation, "quota."+string(name)), c.Settings.Bounds.QuotaOverage)
	p.flow = flow.New(name, flow.Settings{
		LeaseDuration:    min(taskLease, c.Settings.Bounds.MaxGrant/4*3),
		MaxLeaseDuration: c.Settings.Bounds.MaxGrant,
		Retention:        c.Settings.Bounds.Retention,
	}, c.Platform, endive.NewWriteIDs(id, c.Incarnation, "flow."+string(name)), division, speed.NewByLabel(), share.NewRate())
	p.pid = c.system.Spawn(p)
	return p
}

const (
	// taskLease is how long tasks keep running without renewal by the holder. It is longer
	// than a takeover takes. The tasks of a failed worker can't be restarted before their
	// lease has expired.
	taskLease = endive.Interval(4500 * time.Millisecond)
	// renewalsPerLease is the number of renewal periods in the duration of a pool's lease.
	renewalsPerLease = 3
	// electRetryDelay is the pause after a failed write of the lease.
	electRetryDelay = endive.Interval(250 * time.Millisecond)
)

// fenceWrite returns the write of the fence row, which rejects writes of earlier epochs.
func (p *pool) fenceWrite(epoch endive.Epoch) endive.Write { return flow.FenceWrite(p.name, epoch) }

// Receive implements actor.Actor.
func (p *pool) Receive(c actor.Context) {
	if m, ok := c.Message().(message); ok {
		p.stepMachine(m)
	}
}

// stepMachine passes one event to a state machine and performs its actions.
func (p *pool) stepMachine(message message) {
	start := time.Now()
	now := p.cell.Clock.Now()
	var actions []endive.Action
	if message.machine == electMachine {
		actions = p.elect.Step(now, message.event)
		p.holding.Store(p.elect.Holding())
		p.setHolder(p.elect.Holder())
		if acquiring := p.elect.HoldingOrAcquiring(); acquiring != p.holdingOrAcquiring.Load() {
			p.acquiredAt.Store(&now)
			p.holdingOrAcquiring.Store(acquiring)
		}
	} else {
		actions = p.flow.Step(now, message.event)
	}
	p.cell.Counters.recordStep(time.Since(start))
	for _, action := range actions {
		p.perform(message.machine, action)
	}
}

// setHolder stores which entry holds the pool; if it changed, it updates the peer sessions.
func (p *pool) setHolder(holder endive.EntryID) {
	if p.holder.Swap(holder) != holder {
		p.holderBackoffUntil.Store(&time.Time{})
		p.cell.peers.updateLinks()
	}
}

// currentHolder returns the entry that holds the pool, or "" if unknown.
func (p *pool) currentHolder() endive.EntryID { return p.holder.Load().(endive.EntryID) }

// send queues an event for a state machine. It never blocks.
func (p *pool) send(machine machineKind, event endive.Event) {
	p.cell.system.Send(p.pid, message{machine: machine, event: event})
}

// sendToFlow queues an event for the flow state machine.
func (p *pool) sendToFlow(event endive.Event) { p.send(flowMachine, event) }

// release makes the elect state machine release the pool's lease.
func (p *pool) release() { p.send(electMachine, elect.Release{}) }

// handleLeaseRow passes a newly read lease row to the elect state machine.
func (p *pool) handleLeaseRow(row endive.Row) {
	lease := elect.LeaseRow{Version: row.Version, Value: row.Value}
	if row.Deleted {
		lease = elect.LeaseRow{}
	}
	p.send(electMachine, lease)
}

// handleStatusRow stores the status that the pool's holder wrote.
func (p *pool) handleStatusRow(row endive.Row) {
	var status flow.Status
	if row.Deleted {
		return
	}
	if err := json.Unmarshal(row.Value, &status); err != nil {
		p.cell.Log.Warn("can't decode the status of a pool", "pool", string(p.name), "error", err.Error())
		return
	}
	p.status.Store(&status)
}

const (
	// renewalGrace is the time after an outage of the store in which holders may renew
	// leases that expired during the outage.
	renewalGrace = 400 * time.Millisecond
	// perHeldPoolDelay is added to the wait before an acquisition for each other pool that
	// the entry holds, so that pools spread over the entries.
	perHeldPoolDelay = 300 * time.Millisecond
	// perPoolDelay separates the acquisitions of pools that become free at the same time,
	// so that an entry that acquires one leaves the next to others.
	perPoolDelay = 20 * time.Millisecond
	// perRankDelay is added to the wait for each better candidate, up to maxRankDelay.
	perRankDelay = 50 * time.Millisecond
	maxRankDelay = 1200 * time.Millisecond
)

// acquireAt returns the time from which this entry may acquire a pool that is free since
// freeSince. If it holds other pools, the wait starts no earlier than their latest
// acquisition, so that pools spread over the entries.
func (p *pool) acquireAt(freeSince time.Time) time.Time {
	if !p.cell.Store.lastCallAnswered() {
		// The store is unavailable. The holder may still renew its lease with the first
		// call after the outage.
		return electRetryDelay.After(p.cell.Clock.Now())
	}
	since := endive.Latest(freeSince, p.cell.Store.lastRecovery().Add(renewalGrace))
	if count, newest := p.cell.otherPoolsAcquired(p); count > 0 {
		since = endive.Latest(since, newest).Add(time.Duration(count) * perHeldPoolDelay)
	}
	delay := min(time.Duration(p.cell.peers.rank(p.name))*perRankDelay, maxRankDelay)
	return since.Add(delay + time.Duration(p.cell.poolsBefore(p))*perPoolDelay)
}

// readLease reads the lease and the status of the pool in the background, with retries.
func (p *pool) readLease() { go (&leaseReader{pool: p}).run() }

// leaseReader reads the lease and the status row of a pool.
type leaseReader struct{ pool *pool }

func (l *leaseReader) run() {
	c := l.pool.cell
	for c.ctx.Err() == nil {
		ctx := endive.WithStallTimeout(c.ctx, c.Settings.Timings.StoreTimeout)
		rows, err := c.Store.Read(ctx, elect.LeaseKey(l.pool.name), flow.StatusKey(l.pool.name))
		if err != nil {
			c.sleep(retryDelay)
			continue
		}
		l.handleRows(rows)
		return
	}
}

// handleRows handles the rows read; a missing lease row is passed on as an empty lease.
func (l *leaseReader) handleRows(rows []endive.Row) {
	lease := false
	for _, row := range rows {
		if row.Key == elect.LeaseKey(l.pool.name) {
			lease = true
			l.pool.handleLeaseRow(row)
		} else {
			l.pool.handleStatusRow(row)
		}
	}
	if !lease {
		l.pool.send(electMachine, elect.LeaseRow{})
	}
}
