package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// tickets is the advice on a step: the workers that may run it, with their tickets.
type tickets struct {
	eligible map[endive.WorkerID]ticket
	// eligibleIDs are the eligible workers in the order of their ids.
	eligibleIDs []endive.WorkerID
	// ineligible are the workers that may never run the step.
	ineligible map[endive.WorkerID]bool
	// latestExpiry is when the last of the tickets expires.
	latestExpiry time.Time
	// requestAfter is the earliest time of the holder's next own advice request: it waits for
	// forwarded advice at first, and after a failed request.
	requestAfter time.Time
	inFlight     bool
	// requests counts the holder's own advice requests.
	requests    int
	requestedAt time.Time
}

type ticket struct {
	value  endive.AdviceTicket
	expiry time.Time
}

// valid reports whether there is a ticket that the worker will accept.
func (t *tickets) valid(id endive.WorkerID, now time.Time) bool {
	ticket, ok := t.eligible[id]
	return ok && now.Add(ticketMargin).Before(ticket.expiry)
}

// isEligible reports whether a worker is known to be eligible.
func (t *tickets) isEligible(id endive.WorkerID) bool {
	_, ok := t.eligible[id]
	return ok
}

// surveyed reports whether there is advice on any worker.
func (t *tickets) surveyed() bool { return len(t.eligible)+len(t.ineligible) > 0 }

// ticketFor returns the ticket for a worker; empty if there is none.
func (t *tickets) ticketFor(id endive.WorkerID) endive.AdviceTicket { return t.eligible[id].value }

// invalidate expires a ticket; the worker stays eligible.
func (t *tickets) invalidate(id endive.WorkerID) {
	if ticket, ok := t.eligible[id]; ok {
		ticket.expiry = time.Time{}
		t.eligible[id] = ticket
	}
}

func (t *tickets) add(grants []endive.AdviceGrant, ineligible []endive.WorkerID, expiry time.Time) {
	if t.eligible == nil {
		t.eligible = make(map[endive.WorkerID]ticket)
		t.ineligible = make(map[endive.WorkerID]bool)
	}
	for _, grant := range grants {
		if at, known := slices.BinarySearch(t.eligibleIDs, grant.Worker); !known {
			t.eligibleIDs = slices.Insert(t.eligibleIDs, at, grant.Worker)
		}
		t.eligible[grant.Worker] = ticket{value: grant.Ticket, expiry: expiry}
	}
	if len(grants) > 0 {
		t.latestExpiry = endive.Latest(t.latestExpiry, expiry)
	}
	for _, id := range ineligible {
		t.ineligible[id] = true
	}
}

// requestInFlight reports whether an advice request for the step has neither been answered nor
// timed out.
func (t *tickets) requestInFlight(now time.Time) bool {
	return t.inFlight && now.Sub(t.requestedAt) < adviceTimeout
}
