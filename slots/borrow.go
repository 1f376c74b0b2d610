package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// ask tells the owners of a service how many slots this entry could use. Near
// owners are asked for what waits, a few first; those of other regions for what
// is worth the way.
func (o *Owners) ask(now time.Time, d *demand) {
	near, far := o.owners(d.Service)
	spread := askPeriod.After(d.since).After(now)
	for i, s := range near {
		want := (d.Waiting + min(askFirst, len(near)) - 1) / min(askFirst, len(near))
		if i >= askFirst && spread && s.want == 0 {
			want = 0
		}
		o.tell(now, s, d, want)
	}
	for i, s := range far {
		o.tell(now, s, d, (d.CrossRegion+len(far)-1-i)/len(far))
	}
}

// owners returns the other owners of a service's executors, in this region and
// in others. Those that could lend most come first.
func (o *Owners) owners(name endive.ServiceName) (near, far []*source) {
	seen := make(map[endive.EntryID]bool)
	for _, a := range o.order[name] {
		if a.owner == o.self || a.owner == "" || seen[a.owner] || a.total == 0 {
			continue
		}
		seen[a.owner] = true
		s := o.source(a.owner, name)
		s.far = a.region != o.view.Self.Region
		if !s.far {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	for _, list := range [][]*source{near, far} {
		sort.Slice(list, func(i, j int) bool {
			if list[i].idle != list[j].idle {
				return list[i].idle > list[j].idle
			}
			return endive.Rendezvous(list[i].owner, string(o.self)) > endive.Rendezvous(list[j].owner, string(o.self))
		})
	}
	return near, far
}

// source returns what is known of lending by an owner, made if need be.
func (o *Owners) source(owner endive.EntryID, name endive.ServiceName) *source {
	key := sourceKey{owner, name}
	s := o.sources[key]
	if s == nil {
		s = &source{sourceKey: key, sent: make(map[uint64]time.Time)}
		o.sources[key] = s
	}
	return s
}

// tell sends the demand to an owner if it changed, or was told long ago.
func (o *Owners) tell(now time.Time, s *source, d *demand, want int) {
	switch {
	case want == 0 && s.want == 0:
		return
	case want > 0 && s.want > 0 && changePeriod.After(s.askedAt).After(now):
		return
	case want == s.want && restatePeriod.After(s.askedAt).After(now):
		return
	}
	o.sendAsk(now, s, d, want, false)
}

// sendAsk sends a SlotAsk. It names what this entry holds if the lease is to be
// renewed.
func (o *Owners) sendAsk(now time.Time, s *source, d *demand, want int, renew bool) {
	o.sequence++
	s.want, s.askedAt = want, now
	s.forget(now)
	s.sent[o.sequence] = now
	message := &wire.SlotAsk{
		Service: string(s.service), Sequence: o.sequence, Want: uint32(want), Receiver: o.run(s.owner),
	}
	if want > 0 {
		message.OldestMs = millis(now.Sub(d.Oldest))
	}
	for _, a := range o.order[s.service] {
		if renew && a.owner == s.owner && a.limit > 0 {
			message.Holds = append(message.Holds, holdOf(a))
		}
	}
	for _, id := range d.Avoid {
		if a := o.assets[id]; a != nil && a.owner == s.owner {
			message.Avoid = append(message.Avoid, string(id))
		}
	}
	o.send(s.owner, message)
}

// granted takes in a grant.
func (o *Owners) granted(now time.Time, from borrower, m *wire.SlotGrant) {
	name := endive.ServiceName(m.GetService())
	s := o.source(from.entry, name)
	s.idle = int(m.GetIdle())
	var until time.Time
	if sent, ok := s.sent[m.GetSequence()]; ok {
		until = sent.Add(time.Duration(m.GetLeaseMs())*time.Millisecond - time.Duration(leaseMargin))
	}
	stale := false
	s.answeredAt = now
	for _, level := range m.GetLevels() {
		a := o.assets[endive.ExecutorID(level.GetExecutor())]
		if a == nil || a.owner != from.entry || a.incarnation != from.incarnation {
			continue
		}
		got, missed := a.raise(now, level, until)
		s.want = max(0, s.want-got)
		stale = stale || missed
	}
	d := o.demand(name)
	if stale || d.Waiting == 0 && s.scarce(now, d.SlotDemand) {
		o.giveBack(s, d.Waiting > 0)
	}
}

// giveSurplus gives back what this entry has no request for, to owners that have
// no more.
func (o *Owners) giveSurplus(now time.Time, d *demand) {
	for _, s := range o.sortedSources() {
		if s.service == d.Service && s.scarce(now, d.SlotDemand) {
			o.giveBack(s, false)
		}
	}
}

// raise takes in a level of slots lent by the owner and returns how many more
// there are, and whether the owner has missed that this entry holds fewer.
func (a *asset) raise(now time.Time, level *wire.SlotLevel, until time.Time) (int, bool) {
	if level.GetTerm() > a.term && a.limit == 0 && a.used == 0 {
		a.term, a.version = level.GetTerm(), 0
	}
	if level.GetTerm() != a.term || level.GetVersion() < a.version {
		return 0, false
	}
	if until.After(a.until) {
		a.until = until
	}
	slots := int(level.GetSlots())
	if level.GetVersion() == a.version {
		if slots > a.limit {
			a.told = hold{}
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

// recall takes in claims and recalls.
func (o *Owners) recall(now time.Time, from borrower, m *wire.SlotRecall) {
	o.answerClaims(from, m.GetClaims())
	name := endive.ServiceName(m.GetService())
	if name == "" {
		return
	}
	s := o.source(from.entry, name)
	s.recall = now.Add(-time.Duration(m.GetOldestMs()) * time.Millisecond)
	s.recallEnd = recallHold.After(now)
	if d := o.demand(name); s.scarce(now, d.SlotDemand) {
		o.giveBack(s, false)
	}
}

// giveBack returns the slots of an owner that this entry doesn't use; keep only
// tells what it holds.
func (o *Owners) giveBack(s *source, keep bool) {
	message := &wire.SlotReturn{Receiver: o.run(s.owner)}
	for _, a := range o.order[s.service] {
		if a.owner != s.owner || a.term == 0 || a.ownership != nil {
			continue
		}
		if !keep && a.shrink(0) || a.hold() != a.told {
			a.told = a.hold()
			message.Holds = append(message.Holds, holdOf(a))
		}
	}
	if len(message.Holds) > 0 {
		o.send(s.owner, message)
	}
}

// keepOrReturn decides on a slot of a that became free: it goes back if others
// have waited longer.
func (o *Owners) keepOrReturn(now time.Time, a *asset) {
	s := o.source(a.owner, a.service)
	if s.scarce(now, o.demand(a.service).SlotDemand) {
		o.giveBack(s, false)
		return
	}
	if a.limit > a.used {
		a.idleSince = now
	}
}
