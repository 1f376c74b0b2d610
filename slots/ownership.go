package slots

import (
	"time"

	"endiveroute.example/endive"
)

// borrower is one incarnation of an entry that may hold slots.
type borrower struct {
	entry       endive.EntryID
	incarnation endive.Incarnation
}

// loan is the maximum number of slots that a borrower may use.
type loan struct {
	version uint64
	slots   int
	// expires is when the borrower has certainly stopped starting requests on
	// the loan.
	expires time.Time
	// reclaimAt is when the slots of an unreachable borrower become free again;
	// zero while the borrower is reachable.
	reclaimAt time.Time
}

// unconfirmed reports whether the borrower is late in renewing the lease.
func (l *loan) unconfirmed(now time.Time) bool { return l.expires.Before(confirmBefore.After(now)) }

// ownership is what the owner of an executor's slots keeps about them.
type ownership struct {
	// term increases each time that this entry becomes an owner.
	term uint64
	// claimedAt is when the term began.
	claimedAt time.Time
	// unreported are the entries that may hold slots lent by a former owner and
	// haven't reported how many they hold. The value is the time when these
	// slots have certainly expired; zero for reachable entries, which must
	// report.
	unreported map[borrower]time.Time
	loans      map[borrower]*loan
}

// ready reports whether all slots lent by former owners are accounted for.
func (o *ownership) ready() bool { return len(o.unreported) == 0 }

// tracks reports whether a borrower must still report its holding or has done
// so.
func (o *ownership) tracks(b borrower) bool {
	_, awaited := o.unreported[b]
	return awaited || o.loans[b] != nil
}

// lent returns the number of slots lent to other entries.
func (o *ownership) lent() int {
	n := 0
	for _, l := range o.loans {
		n += l.slots
	}
	return n
}

// loanTo returns the loan to a borrower and creates it if necessary.
func (o *ownership) loanTo(b borrower) *loan {
	l := o.loans[b]
	if l == nil {
		l = &loan{}
		o.loans[b] = l
	}
	return l
}

// applyReport applies the holding that a borrower reported, and reports whether
// a loan changed. A report of an older term is ignored. A report of an older
// version is ignored too, because it doesn't include the grants made since.
func (o *ownership) applyReport(b borrower, h holding) bool {
	if h.term != o.term {
		return false
	}
	if _, ok := o.unreported[b]; ok {
		delete(o.unreported, b)
		o.loanTo(b).slots = h.count
		return true
	}
	l := o.loanTo(b)
	if l.version != h.version || l.slots <= h.count {
		return false
	}
	l.slots = h.count
	return true
}
