package flow

import (
	"time"

	"endiveroute.example/endive"
)

// Settings are the bounds and intervals of a Machine.
type Settings struct {
	// LeaseDuration is how long a lease of a worker's tasks lasts from the order that
	// renews it. It has to outlast a takeover of the pool, and to be the same for all
	// holders: a new one waits so long for what it can't see.
	LeaseDuration endive.Interval
	// MaxLeaseDuration is what a worker shortens longer leases to.
	MaxLeaseDuration endive.Interval
	// Retention is how long the rows of an ended workflow are kept.
	Retention endive.Interval
}

const (
	// holdWait is how long a worker's answer waits for an end. It bounds how old
	// the figures of running tasks get.
	holdWait = endive.Interval(time.Second)
	// openLook lies between two looks at a worker of which ends aren't recorded yet:
	// it answers at once until they are, so that waiting for the next end is left to
	// the holder.
	openLook = 100 * time.Millisecond
	// idleLook is how often a worker without tasks is looked at, for its clock.
	idleLook = 3 * time.Second
	// holdRetry is the pause after a look that failed.
	holdRetry = 150 * time.Millisecond
	// clockRate is the slowest rate of a worker's steady clock.
	clockRate = 0.98
	// leaseMargin covers the time between reading the clock and sending an order.
	leaseMargin = 60 * time.Millisecond
	// guessMargin is how far a worker's time can be overestimated by a holder whose
	// last reading is as old as a lease, at the slowest rate.
	guessMargin = 150 * time.Millisecond
	// startTries is how often an order to start is sent before the task is given
	// up there.
	startTries = 3
	// passPause lies between two looks at what could start, so that one look
	// serves several ends.
	passPause = 4 * time.Millisecond
	// passPausePerJob bounds the part of the time that looks take when much waits.
	passPausePerJob = 50 * time.Microsecond
	// recordRetry is the pause after a write that failed.
	recordRetry = 150 * time.Millisecond
	// recordPause lies between two writes of ends, which gathers ends of one
	// moment.
	recordPause = 30 * time.Millisecond
	// lazyRecord is how long news that nobody waits for may stay unwritten.
	lazyRecord = 700 * time.Millisecond
	// statusPeriod is how often the other entries are told how the pool fares.
	statusPeriod = 900 * time.Millisecond
	// statusAge is how old the status row gets at most, by which the other entries
	// know that there is a holder.
	statusAge = 1500 * time.Millisecond
	// rowsPerRecord leaves room for the fence, the roster and the counts among
	// the 100 rows of a transaction.
	rowsPerRecord = 80
	// ticketMargin is how long before its end a ticket isn't used any more.
	ticketMargin = 150 * time.Millisecond
	// adviceRetry is the pause after a question that failed, or that named no
	// good worker.
	adviceRetry = 300 * time.Millisecond
	// lateFactor times the objective is when a workflow earns nothing any more.
	lateFactor = 3
)
