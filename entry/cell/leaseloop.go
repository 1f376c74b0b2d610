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
	// peerReachesStoreSince is when another entry was first found to reach the store while this one
	// doesn't; zero while it does, or nobody does.
	peerReachesStoreSince time.Time
	// lastTransferOffer is when a pool was last offered to an entry that suits better.
	lastTransferOffer time.Time
}

func (l *leaseLoop) run() {
	var after endive.Revision
	for l.cell.ctx.Err() == nil {
		l.cell.sleep(l.pollPeriod())
		if after == 0 {
			after = l.readAll()
			continue
		}
		changes, err := l.poll(after)
		if endive.ErrHistoryLost.Has(err) {
			after = 0
			continue
		}
		if err != nil {
			if !l.cell.Store.usable() {
				l.offerPools()
			}
			continue
		}
		l.peerReachesStoreSince = time.Time{}
		after = changes.Revision
		for _, row := range changes.Rows {
			l.handleRow(row)
		}
		l.offerTransfers()
	}
}

// readAll reads the lease of each pool, and returns the revision to follow after.
func (l *leaseLoop) readAll() endive.Revision {
	for _, p := range l.cell.allPools() {
		p.readLease()
	}
	ctx, cancel := context.WithTimeout(l.cell.ctx, time.Duration(l.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	scan, err := l.cell.Store.Scan(ctx, elect.Table+"//", 0)
	if err != nil {
		return 0
	}
	return scan.Revision
}

func (l *leaseLoop) poll(after endive.Revision) (endive.Changes, error) {
	ctx, cancel := context.WithTimeout(l.cell.ctx, time.Duration(l.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	return l.cell.Store.Follow(ctx, elect.Table+"/", after, 0)
}

// topRanks are the entries that would take a pool first, and look at its lease
// most often.
const topRanks = 4

// pollPeriod lies between two looks at the leases. An entry that many others suit better
// than looks more rarely.
func (l *leaseLoop) pollPeriod() time.Duration {
	period := time.Duration(l.cell.Settings.Timings.Poll)
	for _, p := range l.cell.allPools() {
		if p.holding.Load() || l.cell.peers.rank(p.name) < topRanks {
			return period
		}
	}
	return period * time.Duration(l.cell.peers.pollSlowdown())
}

// offerTransfers asks an entry that suits much better to take a pool which is held here.
func (l *leaseLoop) offerTransfers() {
	now := l.cell.Clock.Now()
	for _, p := range l.cell.allPools() {
		if !p.holding.Load() || now.Sub(*p.acquiredAt.Load()) < transferDelay || now.Sub(l.lastTransferOffer) < transferDelay {
			continue
		}
		if entry, ok := l.cell.peers.transferTarget(p.name, l.cell.holders()); ok {
			l.lastTransferOffer = now
			l.offerPool(entry, p, "it suits better")
		}
	}
}

// offerPool asks an entry to take a pool.
func (l *leaseLoop) offerPool(entry endive.EntryID, p *pool, reason string) {
	request := &wire.RelayAsk{Kind: wire.RelayKind_RELAY_TAKE, Pool: string(p.name)}
	sent := l.cell.peers.mesh.Send(entry, request)
	l.cell.Log.Info("pool is offered", "pool", string(p.name), "entry", string(entry), "reason", reason, "sent", sent)
}

// offerPools asks an entry that reaches the store to take the pools that this one holds,
// since it can start nothing once their leases have run out.
func (l *leaseLoop) offerPools() {
	if l.cell.HoldsNoPool() {
		return
	}
	ctx, cancel := context.WithTimeout(l.cell.ctx, relayTimeout)
	defer cancel()
	for _, p := range l.cell.allPools() {
		if !p.holding.Load() {
			continue
		}
		entry, ok := l.cell.relayClient.findCapable(ctx, l.cell.peers.linkedCandidates(p.name))
		if l.shouldOffer(ok) {
			l.offerPool(entry, p, "the store is away")
		}
	}
}

// offerDelay is how long another entry has to reach the store, and this one not, for a pool
// to be offered. After an outage of the whole store some notice its return before others.
const offerDelay = 600 * time.Millisecond

// shouldOffer takes in whether another entry reaches the store, and reports whether it has
// done so for long enough.
func (l *leaseLoop) shouldOffer(peerReachesStore bool) bool {
	now := l.cell.Clock.Now()
	switch {
	case !peerReachesStore:
		l.peerReachesStoreSince = time.Time{}
	case l.peerReachesStoreSince.IsZero():
		l.peerReachesStoreSince = now
	}
	return peerReachesStore && now.Sub(l.peerReachesStoreSince) >= offerDelay
}

func (l *leaseLoop) handleRow(row endive.Row) {
	for _, p := range l.cell.allPools() {
		switch row.Key {
		case elect.LeaseKey(p.name):
			p.handleLeaseRow(row)
		case flow.StatusKey(p.name):
			p.handleStatusRow(row)
		}
	}
}
