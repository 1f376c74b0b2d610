package cell

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
)

// pool is the actor that owns the two machines of a pool: who holds it, and what
// its holder decides.
type pool struct {
	name       endive.PoolName
	cell       *Cell
	pid        *actor.PID
	elect      *elect.Machine
	flow       *flow.Machine
	wakeTimers [2]*time.Timer
	// follower reads the rows of the current tenure; nil without one.
	follower *workFollower
	// successor is to be given the pool when this entry gives it up, with the lease as
	// it was left; empty for nobody.
	successor     atomic.Value
	releasedLease elect.LeaseRow
	// states is what callers may be told of the pool's workflows while it is held here.
	states workflowStates
	// holderBackoffUntil is until when the holder isn't asked for states, since it didn't answer.
	holderBackoffUntil atomic.Pointer[time.Time]
	// handedOver is what the last holder gave this entry; nil for nothing.
	handedOver atomic.Pointer[flow.PoolSnapshot]
	// status is what the pool's holder told last.
	status atomic.Pointer[flow.Status]
	// holding mirrors whether this entry holds the pool.
	holding atomic.Bool
	// holder mirrors which entry holds the pool, as far as it is known.
	holder atomic.Value
	// holdingOrAcquiring mirrors whether it does, or is about to.
	holdingOrAcquiring atomic.Bool
	// acquiredAt is when that changed last.
	acquiredAt atomic.Pointer[time.Time]
}

// message is an event for one of a pool's machines.
type message struct {
	machine machineKind
	event   endive.Event
}

// machineKind tells a pool's machines apart.
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
	p.flow = flow.New(name, flow.Settings{
		LeaseDuration:    min(taskLease, c.Settings.Bounds.MaxGrant/4*3),
		MaxLeaseDuration: c.Settings.Bounds.MaxGrant,
		Retention:        c.Settings.Bounds.Retention,
	}, c.Platform, endive.NewWriteIDs(id, c.Incarnation, "flow."+string(name)))
	p.pid = c.system.Spawn(p)
	return p
}

const (
	// taskLease is how long tasks run on without their holder. It outlasts a
	// takeover, and a worker that is lost holds its tasks up for as long.
	taskLease = endive.Interval(4500 * time.Millisecond)
	// renewalsPerLease is how often a lease is renewed before it would end.
	renewalsPerLease = 3
	// electRetryDelay is the pause after a write of the lease that failed.
	electRetryDelay = endive.Interval(250 * time.Millisecond)
)

// fenceWrite returns the write that begins an epoch for the pool's rows.
func (p *pool) fenceWrite(epoch endive.Epoch) endive.Write { return flow.FenceWrite(p.name, epoch) }

// Receive implements actor.Actor.
func (p *pool) Receive(c actor.Context) {
	if m, ok := c.Message().(message); ok {
		p.stepMachine(m)
	}
}

// stepMachine feeds one event to a machine and carries out its actions.
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

// setHolder notes which entry holds the pool, and links to it.
func (p *pool) setHolder(holder endive.EntryID) {
	if p.holder.Swap(holder) != holder {
		p.holderBackoffUntil.Store(&time.Time{})
		p.cell.peers.updateLinks()
	}
}

// currentHolder returns the entry that holds the pool, as far as it is known.
func (p *pool) currentHolder() endive.EntryID { return p.holder.Load().(endive.EntryID) }

// send queues an event for a machine. It never blocks.
func (p *pool) send(machine machineKind, event endive.Event) {
	p.cell.system.Send(p.pid, message{machine: machine, event: event})
}

// sendToFlow queues an event for the machine that decides on the workers.
func (p *pool) sendToFlow(event endive.Event) { p.send(flowMachine, event) }

// release hands the pool over.
func (p *pool) release() { p.send(electMachine, elect.Release{}) }

// handleLeaseRow takes in the row of the pool's lease.
func (p *pool) handleLeaseRow(row endive.Row) {
	lease := elect.LeaseRow{Version: row.Version, Value: row.Value}
	if row.Deleted {
		lease = elect.LeaseRow{}
	}
	p.send(electMachine, lease)
}

// handleStatusRow takes in what the pool's holder tells.
func (p *pool) handleStatusRow(row endive.Row) {
	var status flow.Status
	if row.Deleted {
		return
	}
	if err := json.Unmarshal(row.Value, &status); err != nil {
		p.cell.Log.Warn("the status of a pool can't be read", "pool", string(p.name), "error", err.Error())
		return
	}
	p.status.Store(&status)
}

const (
	// renewalGrace is how long after an outage of the store holders whose leases ran
	// out meanwhile may take to renew them.
	renewalGrace = 400 * time.Millisecond
	// perHeldPoolDelay is how much longer an entry waits for each pool that it holds, so
	// that pools spread over the entries.
	perHeldPoolDelay = 300 * time.Millisecond
	// perPoolDelay lies between the pools that are free at the same time, so that an
	// entry which takes one leaves the next to others.
	perPoolDelay = 20 * time.Millisecond
	// perRankDelay is how much longer an entry waits for each that suits better, and
	// maxRankDelay bounds that.
	perRankDelay = 50 * time.Millisecond
	maxRankDelay = 1200 * time.Millisecond
)

// acquireAt returns until when this entry leaves a free pool to others. One that it took
// itself a moment ago counts like one that became free then, so that pools spread
// over the entries.
func (p *pool) acquireAt(freeSince time.Time) time.Time {
	if !p.cell.Store.lastCallAnswered() {
		// The holder may renew its lease with the first call that the store answers.
		return electRetryDelay.After(p.cell.Clock.Now())
	}
	since := endive.Latest(freeSince, p.cell.Store.lastRecovery().Add(renewalGrace))
	if count, newest := p.cell.otherPoolsAcquired(p); count > 0 {
		since = endive.Latest(since, newest).Add(time.Duration(count) * perHeldPoolDelay)
	}
	delay := min(time.Duration(p.cell.peers.rank(p.name))*perRankDelay, maxRankDelay)
	return since.Add(delay + time.Duration(p.cell.poolsBefore(p))*perPoolDelay)
}

// readLease reads the lease's row until it can be read.
func (p *pool) readLease() { go (&leaseReader{pool: p}).run() }

// leaseReader reads the row of a lease.
type leaseReader struct{ pool *pool }

func (l *leaseReader) run() {
	c := l.pool.cell
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, time.Duration(c.Settings.Timings.StoreTimeout))
		rows, err := c.Store.Read(ctx, elect.LeaseKey(l.pool.name), flow.StatusKey(l.pool.name))
		cancel()
		if err != nil {
			c.sleep(retryDelay)
			continue
		}
		l.handleRows(rows)
		return
	}
}

// handleRows takes in the rows that there are.
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
