package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// tick does the work of each wake-up: it removes expired loans, repeats claims,
// lends, recalls, requests and returns slots, and renews leases.
func (o *Owners) tick(now time.Time) {
	o.removeExpired(now)
	o.sendClaims(now)
	for _, name := range o.services() {
		o.lendSlots(now, name)
		o.sendRecalls(now, name)
		o.requestSlots(now, o.demandFor(name))
	}
	for _, s := range o.sortedLenders() {
		o.returnIdle(now, s)
		o.renew(now, s)
	}
}

// sortedLenders returns the lenders sorted by owner and service.
func (o *Owners) sortedLenders() []*lender {
	list := make([]*lender, 0, len(o.lenders))
	for _, s := range o.lenders {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].owner != list[j].owner {
			return list[i].owner < list[j].owner
		}
		return list[i].service < list[j].service
	})
	return list
}

// returnIdle returns slots that were unused for idleTimeout or whose lease has
// ended.
func (o *Owners) returnIdle(now time.Time, s *lender) {
	give := false
	for _, a := range o.byService[s.service] {
		if a.owner != s.owner || a.limit <= a.used {
			continue
		}
		idle := !a.idleSince.IsZero() && !idleTimeout.After(a.idleSince).After(now)
		if idle || !a.leaseEnd.After(now) {
			give = a.reduceLimit(0) || give
		}
	}
	if give {
		o.returnSlots(s, true)
	}
}

// renew renews the leases from an owner before they end.
func (o *Owners) renew(now time.Time, s *lender) {
	if renewPeriod.After(s.askedAt).After(now) {
		return
	}
	for _, a := range o.byService[s.service] {
		if a.owner == s.owner && a.owner != o.self && a.limit > 0 && !a.leaseEnd.After(renewBefore.After(now)) {
			d := o.demandFor(s.service)
			o.sendAsk(now, s, d, min(s.wanted, d.Waiting), true)
			return
		}
	}
}

// Usage returns how many slots of an executor this entry may use, uses, and has
// lent to others.
func (o *Owners) Usage(executor endive.ExecutorID) (limit, used, lent int) {
	a := o.executors[executor]
	if a == nil {
		return 0, 0, 0
	}
	if a.ownership == nil {
		return a.limit, a.used, 0
	}
	lent = a.ownership.lent()
	return a.total - lent, a.used, lent
}
