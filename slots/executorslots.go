package slots

import (
	"time"

	"endiveroute.example/endive"
)

// executorSlots is what this entry keeps about one executor's slots, as the
// owner of the slots or as a borrower.
type executorSlots struct {
	executor endive.ExecutorID
	service  endive.ServiceName
	region   endive.Region
	zone     endive.Zone
	// total is the number of slots; 0 if the executor is no longer listed.
	total int
	// owner is the executor's owner in this entry's view, and incarnation is
	// the owner's incarnation.
	owner       endive.EntryID
	incarnation endive.Incarnation
	// used is the number of slots that this entry uses.
	used int

	// While this entry is a borrower, term is the owner's term, version is the
	// version of the owner's newest grant, limit is the maximum number of slots
	// that this entry may use, and leaseEnd is the end of the lease, after which
	// no request may be started.
	term     uint64
	version  uint64
	limit    int
	leaseEnd time.Time
	// idleSince is when a borrowed slot became unused; zero while all are in
	// use.
	idleSince time.Time
	// lastReported is the holding that the owner was sent last.
	lastReported holding

	// ownership is nil unless this entry is the owner.
	ownership *ownership
}

// holding is the number of slots that a borrower uses at most, as the borrower
// reports it to the owner.
type holding struct {
	term    uint64
	version uint64
	count   int
}

// free returns the number of further requests that this entry may start at now.
func (a *executorSlots) free(now time.Time) int {
	switch {
	case a.ownership != nil && a.ownership.ready():
		return max(0, a.available())
	case a.ownership == nil && a.leaseEnd.After(now):
		return max(0, a.limit-a.used)
	}
	return 0
}

// available returns the owner's slots that are neither used nor lent. It is
// negative while loans of a former owner and own requests together exceed the
// total.
func (a *executorSlots) available() int { return a.total - a.used - a.ownership.lent() }

// holding returns the holding that this entry reports to the owner as a
// borrower.
func (a *executorSlots) holding() holding {
	return holding{term: a.term, version: a.version, count: a.limit}
}

// reduceLimit lowers the limit so that at most the spare number of slots is
// unused. It reports whether the limit changed.
func (a *executorSlots) reduceLimit(spare int) bool {
	if a.limit <= a.used+spare {
		return false
	}
	a.limit = a.used + spare
	a.idleSince = time.Time{}
	return true
}
