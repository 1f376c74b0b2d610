package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// requestSlots sends this entry's demand to the owners of a service's
// executors. Owners in this region, at first only the first of them, get the
// demand of the whole queue. The demand of the requests that are worth the
// round trip is divided among the owners in other regions.
func (o *Owners) requestSlots(now time.Time, d *demand) {
	local, remote := o.lendersOf(d.Service)
	onlyFirst := spreadDelay.After(d.since).After(now)
	for i, s := range local {
		want := (d.Waiting + min(firstLenders, len(local)) - 1) / min(firstLenders, len(local))
		if i >= firstLenders && onlyFirst && s.wanted == 0 {
			want = 0
		}
		o.updateLender(now, s, d, want)
	}
	for i, s := range remote {
		o.updateLender(now, s, d, (d.CrossRegion+len(remote)-1-i)/len(remote))
	}
}

// lendersOf returns the other owners of a service's executors, in this region
// and in other regions. Those with the most lendable slots come first.
func (o *Owners) lendersOf(name endive.ServiceName) (local, remote []*lender) {
	seen := make(map[endive.EntryID]bool)
	for _, a := range o.byService[name] {
		if a.owner == o.self || a.owner == "" || seen[a.owner] || a.total == 0 {
			continue
		}
		seen[a.owner] = true
		s := o.lender(a.owner, name)
		s.remote = a.region != o.view.Self.Region
		if !s.remote {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	for _, list := range [][]*lender{local, remote} {
		sort.Slice(list, func(i, j int) bool {
			if list[i].available != list[j].available {
				return list[i].available > list[j].available
			}
			return endive.Rendezvous(list[i].owner, string(o.self)) > endive.Rendezvous(list[j].owner, string(o.self))
		})
	}
	return local, remote
}

// lender returns this entry's record of an owner that lends it slots of a
// service, and creates the record if there is none.
func (o *Owners) lender(owner endive.EntryID, name endive.ServiceName) *lender {
	key := lenderKey{owner, name}
	s := o.lenders[key]
	if s == nil {
		s = &lender{lenderKey: key, sentAt: make(map[uint64]time.Time)}
		o.lenders[key] = s
	}
	return s
}

// updateLender sends the number of wanted slots to an owner if the number
// changed or must be repeated.
func (o *Owners) updateLender(now time.Time, s *lender, d *demand, want int) {
	switch {
	case want == 0 && s.wanted == 0:
		return
	case want > 0 && s.wanted > 0 && changedDemandPeriod.After(s.askedAt).After(now):
		return
	case want == s.wanted && repeatDemandPeriod.After(s.askedAt).After(now):
		return
	}
	o.sendAsk(now, s, d, want, false)
}

// sendAsk asks an owner for want slots of its executors. If renew is true, the
// message also lists the slots that this entry holds there, which renews the
// lease on them.
func (o *Owners) sendAsk(now time.Time, s *lender, d *demand, want int, renew bool) {
	o.sequence++
	s.wanted, s.askedAt = want, now
	s.removeExpired(now)
	s.sentAt[o.sequence] = now
	message := &wire.SlotAsk{
		Service: string(s.service), Sequence: o.sequence, Want: uint32(want), Receiver: o.incarnationHash(s.owner),
	}
	if want > 0 {
		message.OldestMs = millis(now.Sub(d.Oldest))
	}
	for _, a := range o.byService[s.service] {
		if renew && a.owner == s.owner && a.limit > 0 {
			message.Holds = append(message.Holds, newSlotHold(a))
		}
	}
	for _, id := range d.Avoid {
		if a := o.executors[id]; a != nil && a.owner == s.owner {
			message.Avoid = append(message.Avoid, string(id))
		}
	}
	o.send(s.owner, message)
}

// handleGrant updates the limits and leases of the executors whose slots an
// owner has lent to this entry. It returns slots that this entry doesn't need,
// and corrects the owner if the owner's numbers are outdated.
func (o *Owners) handleGrant(now time.Time, from borrower, m *wire.SlotGrant) {
	name := endive.ServiceName(m.GetService())
	s := o.lender(from.entry, name)
	s.available = int(m.GetIdle())
	var leaseEnd time.Time
	if sent, ok := s.sentAt[m.GetSequence()]; ok {
		leaseEnd = sent.Add(time.Duration(m.GetLeaseMs())*time.Millisecond - time.Duration(leaseMargin))
	}
	stale := false
	s.answeredAt = now
	for _, level := range m.GetLevels() {
		a := o.executors[endive.ExecutorID(level.GetExecutor())]
		if a == nil || a.owner != from.entry || a.incarnation != from.incarnation {
			continue
		}
		got, outdated := a.applyLevel(now, level, leaseEnd)
		s.wanted = max(0, s.wanted-got)
		stale = stale || outdated
	}
	d := o.demandFor(name)
	if stale || d.Waiting == 0 && s.shouldReturn(now, d.SlotDemand) {
		o.returnSlots(s, d.Waiting > 0)
	}
}

// returnSurplus returns the unused slots of a service to the owners for which
// shouldReturn is true.
func (o *Owners) returnSurplus(now time.Time, d *demand) {
	for _, s := range o.sortedLenders() {
		if s.service == d.Service && s.shouldReturn(now, d.SlotDemand) {
			o.returnSlots(s, false)
		}
	}
}

// applyLevel sets the executor's limit to the number of slots that the owner has
// lent, unless the message is older than the limit. It returns the increase of
// the limit, and whether the owner's number is outdated because this entry holds
// fewer slots.
func (a *executorSlots) applyLevel(now time.Time, level *wire.SlotLevel, leaseEnd time.Time) (int, bool) {
	if level.GetTerm() > a.term && a.limit == 0 && a.used == 0 {
		a.term, a.version = level.GetTerm(), 0
	}
	if level.GetTerm() != a.term || level.GetVersion() < a.version {
		return 0, false
	}
	if leaseEnd.After(a.leaseEnd) {
		a.leaseEnd = leaseEnd
	}
	slots := int(level.GetSlots())
	if level.GetVersion() == a.version {
		if slots > a.limit {
			a.lastReported = holding{}
		}
		return 0, slots > a.limit
	}
	got := slots - a.limit
	a.version, a.limit = level.GetVersion(), slots
	if a.limit > a.used {
		a.idleSince = now
	}
	return got, false
}

// handleRecall answers the claims in a message, by which the sender reports that
// it became the owner of executors. If the message also asks for slots of a
// service for other entries, handleRecall returns unused ones to the sender when
// shouldReturn is true.
func (o *Owners) handleRecall(now time.Time, from borrower, m *wire.SlotRecall) {
	o.answerClaims(from, m.GetClaims())
	name := endive.ServiceName(m.GetService())
	if name == "" {
		return
	}
	s := o.lender(from.entry, name)
	s.recallOldest = now.Add(-time.Duration(m.GetOldestMs()) * time.Millisecond)
	s.recallEnd = recallTimeout.After(now)
	if d := o.demandFor(name); s.shouldReturn(now, d.SlotDemand) {
		o.returnSlots(s, false)
	}
}

// returnSlots returns the unused slots to their owner, and reports to the owner
// the executors where the number of slots that this entry holds has changed. If
// reportOnly is true, it only reports.
func (o *Owners) returnSlots(s *lender, reportOnly bool) {
	message := &wire.SlotReturn{Receiver: o.incarnationHash(s.owner)}
	for _, a := range o.byService[s.service] {
		if a.owner != s.owner || a.term == 0 || a.ownership != nil {
			continue
		}
		if !reportOnly && a.reduceLimit(0) || a.holding() != a.lastReported {
			a.lastReported = a.holding()
			message.Holds = append(message.Holds, newSlotHold(a))
		}
	}
	if len(message.Holds) > 0 {
		o.send(s.owner, message)
	}
}

// keepOrReturn handles a borrowed slot that became unused: the slot is returned
// if shouldReturn is true, for example because requests of other entries have
// waited longer, and kept for a while otherwise.
func (o *Owners) keepOrReturn(now time.Time, a *executorSlots) {
	s := o.lender(a.owner, a.service)
	if s.shouldReturn(now, o.demandFor(a.service).SlotDemand) {
		o.returnSlots(s, false)
		return
	}
	if a.limit > a.used {
		a.idleSince = now
	}
}
