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
	name   endive.PoolName
	cell   *Cell
	pid    *actor.PID
	elect  *elect.Machine
	flow   *flow.Machine
	alarms [2]*time.Timer
	// follow reads the rows of the current tenure; nil without one.
	follow *follow
	// successor is to be given the pool when this entry gives it up, with the lease as
	// it was left; empty for nobody.
	successor atomic.Value
	left      elect.LeaseRow
	// told is what callers may be told of the pool's workflows while it is held here.
	told told
	// quietUntil is until when the holder isn't asked for states, since it didn't answer.
	quietUntil atomic.Pointer[time.Time]
	// given is what the last holder gave this entry; nil for nothing.
	given atomic.Pointer[flow.PoolSnapshot]
	// status is what the pool's holder told last.
	status atomic.Pointer[flow.Status]
	// holds mirrors whether this entry holds the pool.
	holds atomic.Bool
	// holder mirrors which entry holds the pool, as far as it is known.
	holder atomic.Value
	// takes mirrors whether it does, or is about to.
	takes atomic.Bool
	// takenAt is when that changed last.
	takenAt atomic.Pointer[time.Time]
}

// message is an event for one of a pool's machines.
type message struct {
	to    machineKind
	event endive.Event
}

// machineKind tells a pool's machines apart.
type machineKind int

const (
	toElect machineKind = iota
	toFlow
)

func newPool(c *Cell, name endive.PoolName) *pool {
	id := c.Settings.Name
	p := &pool{name: name, cell: c}
	p.quietUntil.Store(&time.Time{})
	p.status.Store(&flow.Status{})
	p.holder.Store(endive.EntryID(""))
	p.successor.Store(endive.EntryID(""))
	p.elect = elect.New(id, c.Incarnation, name, p.fence, p.due, elect.Settings{
		Lease: c.Settings.Timings.PoolLease, Renewal: c.Settings.Timings.PoolLease / renewalsPerLease, Retry: electRetry,
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
	// electRetry is the pause after a write of the lease that failed.
	electRetry = endive.Interval(250 * time.Millisecond)
)

// fence returns the write that begins an epoch for the pool's rows.
func (p *pool) fence(epoch endive.Epoch) endive.Write { return flow.FenceWrite(p.name, epoch) }

// Receive implements actor.Actor.
func (p *pool) Receive(c actor.Context) {
	if m, ok := c.Message().(message); ok {
		p.step(m)
	}
}

// step feeds one event to a machine and carries out its actions.
func (p *pool) step(m message) {
	start := time.Now()
	now := p.cell.Clock.Now()
	var actions []endive.Action
	if m.to == toElect {
		actions = p.elect.Step(now, m.event)
		p.holds.Store(p.elect.Holding())
		p.heldBy(p.elect.Holder())
		if takes := p.elect.HoldingOrAcquiring(); takes != p.takes.Load() {
			p.takenAt.Store(&now)
			p.takes.Store(takes)
		}
	} else {
		actions = p.flow.Step(now, m.event)
	}
	p.cell.Counters.stepped(time.Since(start))
	for _, action := range actions {
		p.perform(m.to, action)
	}
}

// heldBy notes which entry holds the pool, and links to it.
func (p *pool) heldBy(holder endive.EntryID) {
	if p.holder.Swap(holder) != holder {
		p.quietUntil.Store(&time.Time{})
		p.cell.peers.link()
	}
}

// heldIn returns the entry that holds the pool, as far as it is known.
func (p *pool) heldIn() endive.EntryID { return p.holder.Load().(endive.EntryID) }

// send queues an event for a machine. It never blocks.
func (p *pool) send(to machineKind, event endive.Event) {
	p.cell.system.Send(p.pid, message{to: to, event: event})
}

// tell queues an event for the machine that decides on the workers.
func (p *pool) tell(event endive.Event) { p.send(toFlow, event) }

// giveUp hands the pool over.
func (p *pool) giveUp() { p.send(toElect, elect.Release{}) }

// sawLease takes in the row of the pool's lease.
func (p *pool) sawLease(row endive.Row) {
	seen := elect.LeaseRow{Version: row.Version, Value: row.Value}
	if row.Deleted {
		seen = elect.LeaseRow{}
	}
	p.send(toElect, seen)
}

// sawStatus takes in what the pool's holder tells.
func (p *pool) sawStatus(row endive.Row) {
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
	// returnWait is how long after an outage of the store holders whose leases ran
	// out meanwhile may take to renew them.
	returnWait = 400 * time.Millisecond
	// heldWait is how much longer an entry waits for each pool that it holds, so
	// that pools spread over the entries.
	heldWait = 300 * time.Millisecond
	// poolWait lies between the pools that are free at the same time, so that an
	// entry which takes one leaves the next to others.
	poolWait = 20 * time.Millisecond
	// placeWait is how much longer an entry waits for each that suits better, and
	// maxPlaceWait bounds that.
	placeWait    = 50 * time.Millisecond
	maxPlaceWait = 1200 * time.Millisecond
)

// due returns until when this entry leaves a free pool to others. One that it took
// itself a moment ago counts like one that became free then, so that pools spread
// over the entries.
func (p *pool) due(freeSince time.Time) time.Time {
	if !p.cell.Rows.answers() {
		// The holder may renew its lease with the first call that the store answers.
		return electRetry.After(p.cell.Clock.Now())
	}
	since := endive.Latest(freeSince, p.cell.Rows.returned().Add(returnWait))
	if count, newest := p.cell.taken(p); count > 0 {
		since = endive.Latest(since, newest).Add(time.Duration(count) * heldWait)
	}
	wait := min(time.Duration(p.cell.peers.place(p.name))*placeWait, maxPlaceWait)
	return since.Add(wait + time.Duration(p.cell.before(p))*poolWait)
}

// look reads the lease's row until it can be read.
func (p *pool) look() { go (&leaseLook{pool: p}).run() }

// leaseLook reads the row of a lease.
type leaseLook struct{ pool *pool }

func (l *leaseLook) run() {
	c := l.pool.cell
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, time.Duration(c.Settings.Timings.StoreTimeout))
		rows, err := c.Rows.Read(ctx, elect.LeaseKey(l.pool.name), flow.StatusKey(l.pool.name))
		cancel()
		if err != nil {
			c.pause(followRetry)
			continue
		}
		l.saw(rows)
		return
	}
}

// saw takes in the rows that there are.
func (l *leaseLook) saw(rows []endive.Row) {
	lease := false
	for _, row := range rows {
		if row.Key == elect.LeaseKey(l.pool.name) {
			lease = true
			l.pool.sawLease(row)
		} else {
			l.pool.sawStatus(row)
		}
	}
	if !lease {
		l.pool.send(toElect, elect.LeaseRow{})
	}
}
