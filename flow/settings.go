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
	// pollWait is how long a worker's answer waits for an end. It bounds how old
	// the figures of running tasks get.
	pollWait = endive.Interval(time.Second)
	// unrecordedPollInterval lies between two looks at a worker of which ends aren't recorded yet:
	// it answers at once until they are, so that waiting for the next end is left to
	// the holder.
	unrecordedPollInterval = 100 * time.Millisecond
	// idlePollInterval is how often a worker without tasks is looked at, for its clock.
	idlePollInterval = 3 * time.Second
	// pollRetryDelay is the pause after a look that failed.
	pollRetryDelay = 150 * time.Millisecond
	// minClockRate is the slowest rate of a worker's steady clock.
	minClockRate = 0.98
	// leaseMargin covers the time between reading the clock and sending an order.
	leaseMargin = 60 * time.Millisecond
	// clockErrorMargin is how far a worker's time can be overestimated by a holder whose
	// last reading is as old as a lease, at the slowest rate.
	clockErrorMargin = 150 * time.Millisecond
	// maxStartAttempts is how often an order to start is sent before the task is given
	// up there.
	maxStartAttempts = 3
	// minPassInterval lies between two looks at what could start, so that one look
	// serves several ends.
	minPassInterval = 4 * time.Millisecond
	// passIntervalPerJob bounds the part of the time that looks take when much waits.
	passIntervalPerJob = 50 * time.Microsecond
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 150 * time.Millisecond
	// minWriteInterval lies between two writes of ends, which gathers ends of one
	// moment.
	minWriteInterval = 30 * time.Millisecond
	// lazyWriteDelay is how long news that nobody waits for may stay unwritten.
	lazyWriteDelay = 700 * time.Millisecond
	// statusInterval is how often the other entries are told how the pool fares.
	statusInterval = 900 * time.Millisecond
	// maxStatusAge is how old the status row gets at most, by which the other entries
	// know that there is a holder.
	maxStatusAge = 1500 * time.Millisecond
	// maxRowsPerWrite leaves room for the fence, the roster and the counts among
	// the 100 rows of a transaction.
	maxRowsPerWrite = 80
	// ticketMargin is how long before its end a ticket isn't used any more.
	ticketMargin = 150 * time.Millisecond
	// adviceRetryDelay is the pause after a question that failed, or that named no
	// good worker.
	adviceRetryDelay = 300 * time.Millisecond
	// tooLateFactor times the objective is when a workflow earns nothing any more.
	tooLateFactor = 3
)
