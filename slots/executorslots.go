package slots

import (
	"time"

	"endiveroute.example/endive"
)

// executorSlots is an executor as this entry sees it, as its owner or as a borrower.
type executorSlots struct {
	executor endive.ExecutorID
	service  endive.ServiceName
	region   endive.Region
	zone     endive.Zone
	// total is the number of slots; 0 while the executor is out of use.
	total int
	// owner is whom this entry takes for the owner, and incarnation its run.
	owner       endive.EntryID
	incarnation endive.Incarnation
	// used counts the slots that this entry uses.
	used int

	// As a borrower: the owner's term, the newest grant's version, the most slots
	// that may be used, and until when for new requests.
	term     uint64
	version  uint64
	limit    int
	leaseEnd time.Time
	// idleSince is when a slot was left unused; zero while all are used.
	idleSince time.Time
	// lastReported is the last hold that the owner was lastReported.
	lastReported holding

	// ownership is set while this entry is the owner.
	ownership *ownership
}

// holding is what a borrower promises of an executor.
type holding struct {
	term    uint64
	version uint64
	count   int
}

// free returns how many more requests this entry may start at now.
func (a *executorSlots) free(now time.Time) int {
	switch {
	case a.ownership != nil && a.ownership.ready():
		return max(0, a.available())
	case a.ownership == nil && a.leaseEnd.After(now):
		return max(0, a.limit-a.used)
	}
	return 0
}

// available returns the owner's slots that nobody has. It is negative where a former
// owner's loans are still counted above the total.
func (a *executorSlots) available() int { return a.total - a.used - a.ownership.lent() }

// holding returns what this entry promises as a borrower.
func (a *executorSlots) holding() holding {
	return holding{term: a.term, version: a.version, count: a.limit}
}

// reduceLimit gives up what isn't used, except for keep slots.
func (a *executorSlots) reduceLimit(spare int) bool {
	if a.limit <= a.used+spare {
		return false
	}
	a.limit = a.used + spare
	a.idleSince = time.Time{}
	return true
}
