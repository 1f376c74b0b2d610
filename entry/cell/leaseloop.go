package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// leaseLoop follows the leases of all pools.
type leaseLoop struct {
	cell *Cell
	// ableSince is when another entry was first found to reach the store while this one
	// doesn't; zero while it does, or nobody does.
	ableSince time.Time
	// handedOnAt is when a pool was last offered to an entry that suits better.
	handedOnAt time.Time
}

func (l *leaseLoop) run() {
	var after endive.Revision
	for l.cell.ctx.Err() == nil {
		l.cell.pause(l.period())
		if after == 0 {
			after = l.readAll()
			continue
		}
		changes, err := l.follow(after)
		if endive.ErrHistoryLost.Has(err) {
			after = 0
			continue
		}
		if err != nil {
			if !l.cell.Rows.usable() {
				l.offer()
			}
			continue
		}
		l.ableSince = time.Time{}
		after = changes.Revision
		for _, row := range changes.Rows {
			l.saw(row)
		}
		l.handOn()
	}
}

// readAll reads the lease of each pool, and returns the revision to follow after.
func (l *leaseLoop) readAll() endive.Revision {
	for _, p := range l.cell.allPools() {
		p.look()
	}
	ctx, cancel := context.WithTimeout(l.cell.ctx, time.Duration(l.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	scan, err := l.cell.Rows.Scan(ctx, elect.Table+"//", 0)
	if err != nil {
		return 0
	}
	return scan.Revision
}

func (l *leaseLoop) follow(after endive.Revision) (endive.Changes, error) {
	ctx, cancel := context.WithTimeout(l.cell.ctx, time.Duration(l.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	return l.cell.Rows.Follow(ctx, elect.Table+"/", after, 0)
}

// firstPlaces are the entries that would take a pool first, and look at its lease
// most often.
const firstPlaces = 4

// period lies between two looks at the leases. An entry that many others suit better
// than looks more rarely.
func (l *leaseLoop) period() time.Duration {
	period := time.Duration(l.cell.Settings.Timings.Poll)
	for _, p := range l.cell.allPools() {
		if p.holds.Load() || l.cell.peers.place(p.name) < firstPlaces {
			return period
		}
	}
	return period * time.Duration(l.cell.peers.rarity())
}

// handOn asks an entry that suits much better to take a pool which is held here.
func (l *leaseLoop) handOn() {
	now := l.cell.Clock.Now()
	for _, p := range l.cell.allPools() {
		if !p.holds.Load() || now.Sub(*p.takenAt.Load()) < handOnAfter || now.Sub(l.handedOnAt) < handOnAfter {
			continue
		}
		if to, ok := l.cell.peers.bestFor(p.name, l.cell.holders()); ok {
			l.handedOnAt = now
			l.offerTo(to, p, "it suits better")
		}
	}
}

// offerTo asks an entry to take a pool.
func (l *leaseLoop) offerTo(to endive.EntryID, p *pool, reason string) {
	ask := &wire.RelayAsk{Kind: wire.RelayKind_RELAY_TAKE, Pool: string(p.name)}
	sent := l.cell.peers.mesh.Send(to, ask)
	l.cell.Log.Info("pool is offered", "pool", string(p.name), "entry", string(to), "reason", reason, "sent", sent)
}

// offer asks an entry that reaches the store to take the pools that this one holds,
// since it can start nothing once their leases have run out.
func (l *leaseLoop) offer() {
	if l.cell.HoldsNone() {
		return
	}
	ctx, cancel := context.WithTimeout(l.cell.ctx, relayTimeout)
	defer cancel()
	for _, p := range l.cell.allPools() {
		if !p.holds.Load() {
			continue
		}
		to, ok := l.cell.relays.findAble(ctx, l.cell.peers.linkedFor(p.name))
		if l.mayOffer(ok) {
			l.offerTo(to, p, "the store is away")
		}
	}
}

// awayAlone is how long another entry has to reach the store, and this one not, for a pool
// to be offered. After an outage of the whole store some notice its return before others.
const awayAlone = 600 * time.Millisecond

// mayOffer takes in whether another entry reaches the store, and reports whether it has
// done so for long enough.
func (l *leaseLoop) mayOffer(able bool) bool {
	now := l.cell.Clock.Now()
	switch {
	case !able:
		l.ableSince = time.Time{}
	case l.ableSince.IsZero():
		l.ableSince = now
	}
	return able && now.Sub(l.ableSince) >= awayAlone
}

func (l *leaseLoop) saw(row endive.Row) {
	for _, p := range l.cell.allPools() {
		switch row.Key {
		case elect.LeaseKey(p.name):
			p.sawLease(row)
		case flow.StatusKey(p.name):
			p.sawStatus(row)
		}
	}
}
