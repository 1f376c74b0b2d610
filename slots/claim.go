package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// loansExpireAt returns when all slots of a service that were lent at or before
// now are free again: the lease ends first, and the last request started under
// it ends after the service's timeout.
func (o *Owners) loansExpireAt(now time.Time, name endive.ServiceName) time.Time {
	service, _ := o.config.Service(name)
	return service.Timeout.After(leaseDuration.After(now))
}

// claim makes this entry the owner of the executor's slots, in a new term. All
// other entries must first report how many of these slots they hold.
func (o *Owners) claim(now time.Time, a *executorSlots) {
	o.term++
	a.ownership = &ownership{
		term: o.term, claimedAt: now, unreported: make(map[borrower]time.Time), loans: make(map[borrower]*loan),
	}
	for _, p := range o.view.Peers {
		if p.ID == o.self || p.State == endive.MemberGone {
			continue
		}
		var end time.Time
		if !alive(p) {
			end = o.loansExpireAt(now, a.service)
		}
		a.ownership.unreported[borrower{p.ID, p.Incarnation}] = end
	}
	for b, since := range o.departed {
		if end := o.loansExpireAt(since, a.service); end.After(now) {
			a.ownership.unreported[b] = end
		}
	}
	o.claimsSentAt = time.Time{}
}

// updateOwnerships updates unreported entries and loans after a change of the
// members.
func (o *Owners) updateOwnerships(now time.Time) {
	for _, a := range o.executors {
		if a.ownership == nil {
			continue
		}
		// An entry that was listed later may have borrowed from a former owner.
		if o.loansExpireAt(a.ownership.claimedAt, a.service).After(now) {
			for _, p := range o.view.Peers {
				b := borrower{p.ID, p.Incarnation}
				if p.ID != o.self && alive(p) && !a.ownership.tracks(b) {
					a.ownership.unreported[b] = time.Time{}
				}
			}
		}
		for b, end := range a.ownership.unreported {
			switch {
			case o.isAlive(b):
				a.ownership.unreported[b] = time.Time{}
			case end.IsZero():
				a.ownership.unreported[b] = o.loansExpireAt(now, a.service)
			}
		}
		for b, l := range a.ownership.loans {
			switch {
			case o.isAlive(b):
				l.reclaimAt = time.Time{}
			case l.reclaimAt.IsZero():
				l.reclaimAt = o.loansExpireAt(now, a.service)
			}
		}
	}
}

// removeExpired removes unreachable entries, and their loans, once their slots
// have expired.
func (o *Owners) removeExpired(now time.Time) {
	for b, since := range o.departed {
		if !endive.MaxTimeout.After(since).After(now) {
			delete(o.departed, b)
		}
	}
	for _, a := range o.executors {
		if a.ownership == nil {
			continue
		}
		for b, end := range a.ownership.unreported {
			if !end.IsZero() && !end.After(now) {
				delete(a.ownership.unreported, b)
			}
		}
		for b, l := range a.ownership.loans {
			if !l.reclaimAt.IsZero() && !l.reclaimAt.After(now) {
				delete(a.ownership.loans, b)
			}
		}
	}
}

// sendClaims requests the holdings of the unreported entries and of those that
// are late in renewing a lease.
func (o *Owners) sendClaims(now time.Time) {
	if claimPeriod.After(o.claimsSentAt).After(now) {
		return
	}
	o.claimsSentAt = now
	claims := make(map[endive.EntryID][]*wire.SlotClaim)
	for _, name := range o.services() {
		for _, a := range o.byService[name] {
			if a.ownership == nil {
				continue
			}
			for b := range a.ownership.unreported {
				claims[b.entry] = append(claims[b.entry], newSlotClaim(a))
			}
			for b, l := range a.ownership.loans {
				if l.slots > 0 && l.unconfirmed(now) && o.isAlive(b) {
					claims[b.entry] = append(claims[b.entry], newSlotClaim(a))
				}
			}
		}
	}
	to := make([]string, 0, len(claims))
	for id := range claims {
		to = append(to, string(id))
	}
	sort.Strings(to)
	for _, id := range to {
		o.send(endive.EntryID(id), &wire.SlotRecall{Claims: claims[endive.EntryID(id)]})
	}
}

// newSlotClaim returns the claim on the executor's slots.
func newSlotClaim(a *executorSlots) *wire.SlotClaim {
	return &wire.SlotClaim{Executor: string(a.executor), Term: a.ownership.term}
}

// answerClaims reports this entry's holdings to a new owner. Claims of an entry
// that isn't the owner in this entry's view are ignored.
func (o *Owners) answerClaims(from borrower, claims []*wire.SlotClaim) {
	var holds []*wire.SlotHold
	for _, c := range claims {
		a := o.executors[endive.ExecutorID(c.GetExecutor())]
		if a == nil || a.owner != from.entry || a.incarnation != from.incarnation || c.GetTerm() < a.term {
			continue
		}
		if c.GetTerm() > a.term {
			a.term, a.version = c.GetTerm(), 0
			a.limit = a.used
		}
		holds = append(holds, newSlotHold(a))
	}
	if len(holds) > 0 {
		o.send(from.entry, &wire.SlotReturn{Holds: holds, Receiver: o.incarnationHash(from.entry)})
	}
}

// newSlotHold returns the message about this entry's holding of the executor's
// slots.
func newSlotHold(a *executorSlots) *wire.SlotHold {
	return &wire.SlotHold{Executor: string(a.executor), Term: a.term, Version: a.version, Slots: uint32(a.limit)}
}
