package slots

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// handleAsk records a peer's demand and renews the peer's leases.
func (o *Owners) handleAsk(now time.Time, from borrower, m *wire.SlotAsk) {
	o.applyReports(from, m.GetHolds())
	name := endive.ServiceName(m.GetService())
	if o.requesters[name] == nil {
		o.requesters[name] = make(requesters)
	}
	p := o.requesters[name][from.entry]
	if p == nil || p.incarnation != from.incarnation {
		p = &requester{entry: from.entry, incarnation: from.incarnation}
		o.requesters[name][from.entry] = p
	}
	if m.GetSequence() <= p.sequence {
		return
	}
	p.sequence, p.askedAt, p.wanted = m.GetSequence(), now, int(m.GetWant())
	p.oldest = now.Add(-time.Duration(m.GetOldestMs()) * time.Millisecond)
	if o.peers[from.entry].Region != o.view.Self.Region {
		p.oldest = crossRegionHandicap.After(p.oldest)
	}
	p.excluded = make(map[endive.ExecutorID]bool, len(m.GetAvoid()))
	for _, id := range m.GetAvoid() {
		p.excluded[endive.ExecutorID(id)] = true
	}
	o.lendSlots(now, name)
	if len(m.GetHolds()) > 0 {
		o.sendGrant(now, name, p, nil)
	}
}

// handleReturn applies a peer's reported holdings and lends the slots that
// became free.
func (o *Owners) handleReturn(now time.Time, from borrower, m *wire.SlotReturn) {
	for _, name := range o.applyReports(from, m.GetHolds()) {
		o.lendSlots(now, name)
	}
	for _, h := range m.GetHolds() {
		o.resendGrant(now, from, h)
	}
}

// applyReports applies reported holdings and returns the services of which
// slots became free, sorted.
func (o *Owners) applyReports(from borrower, holds []*wire.SlotHold) []endive.ServiceName {
	var names []endive.ServiceName
	for _, h := range holds {
		a := o.executors[endive.ExecutorID(h.GetExecutor())]
		if a == nil || a.ownership == nil {
			continue
		}
		if a.ownership.applyReport(from, holding{h.GetTerm(), h.GetVersion(), int(h.GetSlots())}) {
			names = append(names, a.service)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// resendGrant sends a grant again if the borrower hasn't confirmed it.
func (o *Owners) resendGrant(now time.Time, from borrower, h *wire.SlotHold) {
	a := o.executors[endive.ExecutorID(h.GetExecutor())]
	if a == nil || a.ownership == nil || h.GetTerm() != a.ownership.term {
		return
	}
	l := a.ownership.loans[from]
	p := o.requesters[a.service][from.entry]
	if l == nil || p == nil || l.version <= h.GetVersion() || !l.unconfirmed(now) {
		return
	}
	o.sendGrant(now, a.service, p, []*executorSlots{a})
}

// lendSlots lends free slots of a service to the peers that want them, starting
// with the peer whose request has waited longest. Slots that this entry's own
// older requests need are reserved.
func (o *Owners) lendSlots(now time.Time, name endive.ServiceName) {
	own := o.demandFor(name)
	reserved := 0
	for _, p := range o.requesters[name].pending(now) {
		if !o.isAlive(borrower{p.entry, p.incarnation}) {
			continue
		}
		if own.Waiting > 0 && own.Oldest.Before(p.oldest) {
			reserved = own.Waiting
		}
		if changed := o.lendTo(now, name, p, reserved); len(changed) > 0 {
			o.sendGrant(now, name, p, changed)
		}
	}
	o.sendRecalls(now, name)
}

// lendTo lends the requester up to the number of slots that it wants and
// returns the executors concerned. It doesn't lend the reserved slots of
// executors that this entry can use itself.
func (o *Owners) lendTo(now time.Time, name endive.ServiceName, p *requester, reserved int) []*executorSlots {
	own := o.demandFor(name)
	usable := 0
	for _, a := range o.byService[name] {
		if !slices.Contains(own.Avoid, a.executor) {
			usable += o.lendable(a)
		}
	}
	var changed []*executorSlots
	for ; p.wanted > 0; p.wanted-- {
		a := o.bestExecutor(name, p, usable > reserved)
		if a == nil {
			break
		}
		if !slices.Contains(own.Avoid, a.executor) {
			usable--
		}
		l := a.ownership.loanTo(borrower{p.entry, p.incarnation})
		if !slices.Contains(changed, a) {
			changed = append(changed, a)
			l.version++
		}
		l.slots++
		l.expires = leaseDuration.After(now)
	}
	return changed
}

// lendable returns the number of slots of the executor that this entry could
// lend.
func (o *Owners) lendable(a *executorSlots) int {
	if a.ownership == nil || !a.ownership.ready() {
		return 0
	}
	return max(0, a.available())
}

// bestExecutor returns the executor whose slot the requester gets next: the one
// with the most lendable slots, preferably in the requester's zone. Executors
// that this entry avoids for its own requests come last. The others are
// considered only if allowUsable is set.
func (o *Owners) bestExecutor(name endive.ServiceName, p *requester, allowUsable bool) *executorSlots {
	var best, last *executorSlots
	avoid := o.demandFor(name).Avoid
	for _, a := range o.byService[name] {
		switch {
		case o.lendable(a) == 0 || p.excluded[a.executor] || a.total == 0:
		case slices.Contains(avoid, a.executor):
			last = o.betterExecutor(last, a, p)
		case allowUsable:
			best = o.betterExecutor(best, a, p)
		}
	}
	if best != nil {
		return best
	}
	return last
}

// betterExecutor returns the better one of two executors for a loan to the
// requester.
func (o *Owners) betterExecutor(best, a *executorSlots, p *requester) *executorSlots {
	if best == nil || o.lendable(a) > o.lendable(best) {
		return a
	}
	zone := o.peers[p.entry].Zone
	if o.lendable(a) == o.lendable(best) && a.zone == zone && best.zone != zone {
		return a
	}
	return best
}

// sendGrant sends the requester its current number of slots of the changed
// executors, or of all executors lent to it if changed is nil.
func (o *Owners) sendGrant(now time.Time, name endive.ServiceName, p *requester, changed []*executorSlots) {
	all := changed == nil
	if all {
		changed = o.byService[name]
	}
	b := borrower{p.entry, p.incarnation}
	message := &wire.SlotGrant{
		Service: string(name), Sequence: p.sequence, LeaseMs: uint64(time.Duration(leaseDuration).Milliseconds()),
		Receiver: hashIncarnation(p.incarnation),
	}
	for _, a := range o.byService[name] {
		message.Idle += uint32(o.lendable(a))
	}
	for _, a := range changed {
		if a.ownership == nil || a.ownership.loans[b] == nil {
			continue
		}
		l := a.ownership.loans[b]
		if _, unreported := a.ownership.unreported[b]; unreported || all && l.version == 0 && l.slots == 0 {
			continue
		}
		l.expires = leaseDuration.After(now)
		message.Levels = append(message.Levels, &wire.SlotLevel{
			Executor: string(a.executor), Term: a.ownership.term, Version: l.version, Slots: uint32(l.slots),
		})
	}
	o.send(p.entry, message)
}

// sendRecalls requests that borrowers return slots of a service if requests of
// other entries or of this entry have waited longer.
func (o *Owners) sendRecalls(now time.Time, name endive.ServiceName) {
	if recallPeriod.After(o.recalledAt[name]).After(now) {
		return
	}
	waiting := o.requesters[name].pending(now)
	own := o.demandFor(name)
	if len(waiting) == 0 && own.Waiting == 0 {
		return
	}
	lent := make(map[endive.EntryID]bool)
	for _, a := range o.byService[name] {
		if a.ownership == nil {
			continue
		}
		for b, l := range a.ownership.loans {
			if l.slots > 0 && o.isAlive(b) {
				lent[b.entry] = true
			}
		}
	}
	o.recalledAt[name] = now
	for _, peer := range o.view.Peers {
		if !lent[peer.ID] {
			continue
		}
		oldest := now
		if own.Waiting > 0 {
			oldest = own.Oldest
		}
		for _, p := range waiting {
			if p.entry != peer.ID && p.oldest.Before(oldest) {
				oldest = p.oldest
			}
		}
		if oldest.Before(now) || own.Waiting > 0 {
			o.send(peer.ID, &wire.SlotRecall{Service: string(name), OldestMs: millis(now.Sub(oldest))})
		}
	}
}

// millis returns d in milliseconds, at least 0.
func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }
