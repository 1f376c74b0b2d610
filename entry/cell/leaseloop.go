package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// leaseLoop polls the lease and status rows of all pools, and offers pools to other entries.
type leaseLoop struct {
	cell *Cell
	// peerReachesStoreSince is the time since which another entry reaches the store while this
	// entry doesn't; zero otherwise.
	peerReachesStoreSince time.Time
	// lastTransferOffer is the time of the last offer of a pool to a better candidate.
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

// readAll starts reading the lease of each pool, and returns the revision to poll from.
func (l *leaseLoop) readAll() endive.Revision {
	for _, p := range l.cell.allPools() {
		p.readLease()
	}
	ctx := endive.WithStallTimeout(l.cell.ctx, l.cell.Settings.Timings.StoreTimeout)
	scan, err := l.cell.Store.Scan(ctx, elect.Table+"//", 0)
	if err != nil {
		return 0
	}
	return scan.Revision
}

func (l *leaseLoop) poll(after endive.Revision) (endive.Changes, error) {
	ctx := endive.WithStallTimeout(l.cell.ctx, l.cell.Settings.Timings.StoreTimeout)
	return l.cell.Store.Follow(ctx, elect.Table+"/", after, 0)
}

// topRanks is the number of best candidates for a pool, which poll its lease at the full
// rate because they are the first to acquire it.
const topRanks = 4

// pollPeriod returns the period between two polls of the leases. It is longer on an entry
// that holds no pool and has many better candidates before it.
func (l *leaseLoop) pollPeriod() time.Duration {
	period := time.Duration(l.cell.Settings.Timings.Poll)
	if l.cell.mayHoldSoon() {
		return period
	}
	return period * time.Duration(l.cell.peers.pollSlowdown())
}

// mayHoldSoon reports whether this entry holds a pool or is among the best candidates for one.
func (c *Cell) mayHoldSoon() bool {
	for _, p := range c.allPools() {
		if p.holding.Load() || c.peers.rank(p.name) < topRanks {
			return true
		}
	}
	return false
}

// offerTransfers offers each pool that this entry holds to a much better candidate, if there
// is one.
func (l *leaseLoop) offerTransfers() {
	now := l.cell.Clock.Now()
	for _, p := range l.cell.allPools() {
		if !p.holding.Load() || now.Sub(*p.acquiredAt.Load()) < transferDelay || now.Sub(l.lastTransferOffer) < transferDelay {
			continue
		}
		if entry, ok := l.cell.peers.transferTarget(p.name, l.cell.holders()); ok {
			l.lastTransferOffer = now
			l.offerPool(entry, p, "the other entry is a better candidate")
		}
	}
}

// offerPool sends an entry the offer to acquire a pool from this one.
func (l *leaseLoop) offerPool(entry endive.EntryID, p *pool, reason string) {
	request := &wire.RelayAsk{Kind: wire.RelayKind_RELAY_TAKE, Pool: string(p.name)}
	sent := l.cell.peers.mesh.Send(entry, request)
	l.cell.Log.Info("pool is offered", "pool", string(p.name), "entry", string(entry), "reason", reason, "sent", sent)
}

// offerPools offers the pools that this entry holds to an entry that reaches the store. This
// entry can't renew the leases of the pools, and can start no runs once the leases have
// expired.
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
			l.offerPool(entry, p, "this entry can't reach the store")
		}
	}
}

// offerDelay is how long another entry must reach the store while this one doesn't before
// this one offers its pools. It covers the end of an outage of the whole store, which some
// entries detect later than others.
const offerDelay = 600 * time.Millisecond

// shouldOffer records whether another entry reaches the store now, and reports whether one
// has done so for at least offerDelay.
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
