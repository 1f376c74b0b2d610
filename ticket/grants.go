package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// grants holds the ends of the grants by revision. A grant allows an
// unregistered peer to serve clients with this entry's configuration for a
// limited time. Until the grant ends, this entry must not confirm a later
// revision: tickets wait only for the confirmation of registered entries, so
// the peer could otherwise lack a ticket that is in force.
type grants struct {
	ends map[endive.Revision]time.Time
}

// add records that a peer may use a revision until the given time.
func (g *grants) add(revision endive.Revision, until time.Time) {
	if until.After(g.ends[revision]) {
		g.ends[revision] = until
	}
}

// expire removes the grants that have ended.
func (g *grants) expire(now time.Time) {
	for revision, until := range g.ends {
		if !now.Before(until) {
			delete(g.ends, revision)
		}
	}
}

// confirmable returns the newest revision, up to the given one, that may be confirmed.
func (g *grants) confirmable(revision endive.Revision) endive.Revision {
	for granted := range g.ends {
		revision = min(revision, granted)
	}
	return revision
}

// lastEnd returns when the last grant ends; zero if there are none.
func (g *grants) lastEnd() time.Time {
	var end time.Time
	for _, until := range g.ends {
		if until.After(end) {
			end = until
		}
	}
	return end
}

// firstEnd returns when the first grant ends; zero if there are none.
func (g *grants) firstEnd() time.Time {
	var next time.Time
	for _, until := range g.ends {
		next = earlier(next, until)
	}
	return next
}

// earlier returns the earlier of two times, ignoring zero times.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
