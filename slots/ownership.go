package slots

import (
	"time"

	"endiveroute.example/endive"
)

// borrower is one run of an entry that may hold slots.
type borrower struct {
	entry       endive.EntryID
	incarnation endive.Incarnation
}

// loan is the most that a borrower may hold.
type loan struct {
	version uint64
	slots   int
	// expires is when the borrower has certainly stopped starting requests.
	expires time.Time
	// reclaimAt is when the slots of a borrower that is gone are free again; zero
	// while it isn't.
	reclaimAt time.Time
}

// unconfirmed reports whether the borrower didn't renew the loan for long.
func (l *loan) unconfirmed(now time.Time) bool { return l.expires.Before(confirmBefore.After(now)) }

// ownership is what the owner of an executor knows.
type ownership struct {
	// term is higher for each time that this entry became the owner.
	term uint64
	// claimedAt is when the term began.
	claimedAt time.Time
	// unreported are the entries that may hold slots of a former owner and haven't
	// said how many; the time is when they have certainly run out, zero for those
	// that have to say.
	unreported map[borrower]time.Time
	loans      map[borrower]*loan
}

// ready reports whether all former grants are accounted for.
func (o *ownership) ready() bool { return len(o.unreported) == 0 }

// tracks reports whether b is awaited, or has said what it holds.
func (o *ownership) tracks(b borrower) bool {
	_, awaited := o.unreported[b]
	return awaited || o.loans[b] != nil
}

// lent counts the slots that others may hold.
func (o *ownership) lent() int {
	n := 0
	for _, l := range o.loans {
		n += l.slots
	}
	return n
}

// loanTo returns the loanTo to b, made if need be.
func (o *ownership) loanTo(b borrower) *loan {
	l := o.loans[b]
	if l == nil {
		l = &loan{}
		o.loans[b] = l
	}
	return l
}

// applyReport takes in what b holds. A hold of an older term says nothing, and one of
// an older version doesn't count the grants since.
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
