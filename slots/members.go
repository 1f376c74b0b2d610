package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// alive reports whether an entry can still answer messages.
func alive(p endive.Peer) bool {
	return p.State == endive.MemberLive || p.State == endive.MemberLeaving
}

// applyMembers applies a new members list.
func (o *Owners) applyMembers(now time.Time, view endive.MembersChanged) {
	before := o.peers
	o.view = view
	o.peers = make(map[endive.EntryID]endive.Peer, len(view.Peers))
	for _, p := range view.Peers {
		o.peers[p.ID] = p
	}
	// Leaving entries are skipped: they have finished all their requests.
	for id, p := range before {
		if id != o.self && p.State == endive.MemberLive && !o.isAlive(borrower{id, p.Incarnation}) {
			o.departed[borrower{id, p.Incarnation}] = now
		}
	}
	o.updateExecutors(now)
	o.updateOwnerships(now)
}

// isAlive reports whether a borrower is an entry's current incarnation and can
// answer messages.
func (o *Owners) isAlive(b borrower) bool {
	p, ok := o.peers[b.entry]
	return ok && p.Incarnation == b.incarnation && alive(p)
}

// updateExecutors updates the executors of the configured services and their
// owners.
func (o *Owners) updateExecutors(now time.Time) {
	listed := make(map[endive.ExecutorID]bool)
	for _, e := range o.view.Endpoints {
		service, ok := o.config.Service(e.Service)
		if e.Kind != endive.KindExecutor || !ok {
			continue
		}
		id := endive.ExecutorID(e.ID)
		listed[id] = true
		a := o.executors[id]
		if a == nil {
			a = &executorSlots{executor: id}
			o.executors[id] = a
		}
		a.service, a.region, a.zone, a.total = e.Service, e.Region, e.Zone, service.Slots
		o.updateOwner(now, a, e.Instance)
	}
	o.removeUnlisted(listed)
	o.groupByService()
}

// updateOwner determines the owner of an executor and claims the executor's
// slots if this entry is the new owner.
func (o *Owners) updateOwner(now time.Time, a *executorSlots, executor endive.Instance) {
	owner := ownerOf(o.view.Peers, executor)
	incarnation := o.peers[owner].Incarnation
	if owner == a.owner && incarnation == a.incarnation {
		return
	}
	a.owner, a.incarnation = owner, incarnation
	a.term, a.version, a.leaseEnd = 0, 0, time.Time{}
	a.limit = a.used
	a.idleSince = time.Time{}
	a.ownership = nil
	if owner == o.self {
		o.claim(now, a)
	}
}

// removeUnlisted removes executors that are no longer listed once none of their
// slots is used or lent.
func (o *Owners) removeUnlisted(listed map[endive.ExecutorID]bool) {
	for id, a := range o.executors {
		if listed[id] {
			continue
		}
		a.total = 0
		if a.used == 0 && (a.ownership == nil || a.ownership.lent() == 0) {
			delete(o.executors, id)
		}
	}
}

// groupByService groups the executors by service.
func (o *Owners) groupByService() {
	o.byService = make(map[endive.ServiceName][]*executorSlots)
	for _, a := range o.executors {
		o.byService[a.service] = append(o.byService[a.service], a)
	}
	for _, executors := range o.byService {
		sort.Slice(executors, func(i, j int) bool { return executors[i].executor < executors[j].executor })
	}
}
