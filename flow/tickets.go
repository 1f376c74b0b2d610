package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// tickets are what is known of the workers that may run a step.
type tickets struct {
	good map[endive.WorkerID]ticket
	// goodIDs are the good workers in the order of their ids.
	goodIDs []endive.WorkerID
	// bad workers never may.
	bad map[endive.WorkerID]bool
	// newest is when the last of the tickets ends.
	newest time.Time
	// askAt is when the holder may ask for itself.
	askAt  time.Time
	asking bool
	// asks counts the holder's own questions.
	asks    int
	askedAt time.Time
}

type ticket struct {
	ticket endive.AdviceTicket
	until  time.Time
}

// valid reports whether there is a ticket that a worker will accept.
func (t *tickets) valid(id endive.WorkerID, now time.Time) bool {
	one, ok := t.good[id]
	return ok && now.Add(ticketMargin).Before(one.until)
}

// known reports whether a worker is known to be good.
func (t *tickets) known(id endive.WorkerID) bool {
	_, ok := t.good[id]
	return ok
}

// surveyed reports whether anything is known of the workers.
func (t *tickets) surveyed() bool { return len(t.good)+len(t.bad) > 0 }

// of returns the ticket for a worker; empty if there is none.
func (t *tickets) of(id endive.WorkerID) endive.AdviceTicket { return t.good[id].ticket }

// drop forgets that a ticket is valid; the worker stays known to be good.
func (t *tickets) drop(id endive.WorkerID) {
	if one, ok := t.good[id]; ok {
		one.until = time.Time{}
		t.good[id] = one
	}
}

func (t *tickets) take(good []endive.AdviceGrant, bad []endive.WorkerID, until time.Time) {
	if t.good == nil {
		t.good = make(map[endive.WorkerID]ticket)
		t.bad = make(map[endive.WorkerID]bool)
	}
	for _, one := range good {
		if at, known := slices.BinarySearch(t.goodIDs, one.Worker); !known {
			t.goodIDs = slices.Insert(t.goodIDs, at, one.Worker)
		}
		t.good[one.Worker] = ticket{ticket: one.Ticket, until: until}
	}
	if len(good) > 0 {
		t.newest = endive.Latest(t.newest, until)
	}
	for _, id := range bad {
		t.bad[id] = true
	}
}

// onItsWay reports whether a question about the step has no answer yet.
func (t *tickets) onItsWay(now time.Time) bool {
	return t.asking && now.Sub(t.askedAt) < adviceLost
}
