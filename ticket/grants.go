package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// grants are the states that unregistered peers may still use. While one is
// out, no later revision may be confirmed: whoever says that a ticket is in
// force waits for registered entries only.
type grants struct {
	ends map[endive.Revision]time.Time
}

// add notes that a peer may use the state of a revision until a time.
func (g *grants) add(revision endive.Revision, until time.Time) {
	if until.After(g.ends[revision]) {
		g.ends[revision] = until
	}
}

// expire forgets the grants that are over.
func (g *grants) expire(now time.Time) {
	for revision, until := range g.ends {
		if !now.Before(until) {
			delete(g.ends, revision)
		}
	}
}

// confirmable returns how much of a revision may be confirmed.
func (g *grants) confirmable(revision endive.Revision) endive.Revision {
	for granted := range g.ends {
		revision = min(revision, granted)
	}
	return revision
}

// lastEnd returns when the last grant is over; zero without grants.
func (g *grants) lastEnd() time.Time {
	var end time.Time
	for _, until := range g.ends {
		if until.After(end) {
			end = until
		}
	}
	return end
}

// firstEnd returns when the first grant is over; zero without grants.
func (g *grants) firstEnd() time.Time {
	var next time.Time
	for _, until := range g.ends {
		next = earlier(next, until)
	}
	return next
}

// earlier returns the earlier of two times; a zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
