package flow

import (
	"time"

	"endiveroute.example/endive"
)

// Settings are the configurable durations of a Machine.
type Settings struct {
	// LeaseDuration is the duration of a lease on a worker, from the order that renews it.
	// It must be longer than a takeover of the pool and the same for all holders, because
	// a new holder waits this long for runs on workers that don't answer.
	LeaseDuration endive.Interval
	// MaxLeaseDuration is the limit to which a worker shortens longer leases.
	MaxLeaseDuration endive.Interval
	// Retention is how long the rows of an ended workflow are kept.
	Retention endive.Interval
}

const (
	// pollWait is how long a worker may hold back its answer to a poll to wait for the end
	// of a run. It limits the age of the reported progress of running tasks.
	pollWait = endive.Interval(time.Second)
	// unrecordedPollInterval is the time between two polls of a worker that has reported
	// ends of runs that aren't recorded yet. Such a worker answers polls at once, so the
	// holder has to wait instead.
	unrecordedPollInterval = 100 * time.Millisecond
	// minIdlePollInterval is the minimum time between two polls of a worker without tasks.
	// These polls read the worker's clock. idlePollPerWorker is the time for each worker of
	// the pool if that is longer: in a large pool these polls would take most of the holder's
	// processor time.
	minIdlePollInterval = 3 * time.Second
	idlePollPerWorker   = 6 * time.Millisecond
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 150 * time.Millisecond
	// minClockRate is the assumed minimum rate of a worker's monotonic clock.
	minClockRate = 0.98
	// leaseMargin covers the time between reading the clock and sending an order.
	leaseMargin = 60 * time.Millisecond
	// clockErrorMargin is how far a holder can overestimate a worker's time if its last
	// reading is as old as a lease and the worker's clock runs at the minimum rate.
	clockErrorMargin = 150 * time.Millisecond
	// maxStartAttempts is how often an order to start a task is sent before the holder
	// stops trying on that worker.
	maxStartAttempts = 3
	// minPassInterval is the minimum time between two scheduling passes, so that one pass
	// handles the ends of several runs.
	minPassInterval = 4 * time.Millisecond
	// passIntervalPerOccurrence is added to minPassInterval for each occurrence of a job. It
	// limits the share of the time that scheduling passes take in a backlog.
	passIntervalPerOccurrence = 50 * time.Microsecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 150 * time.Millisecond
	// minWriteInterval is the minimum time between two writes of ends of runs, so that one
	// write records several ends.
	minWriteInterval = 30 * time.Millisecond
	// lazyWriteDelay is how long a changed row with rowLazy may stay unwritten.
	lazyWriteDelay = 700 * time.Millisecond
	// statusInterval is how often the pool's status for the other entries is updated.
	statusInterval = 900 * time.Millisecond
	// maxStatusAge is the maximum age of the status row. The other entries conclude from
	// a recent row that the pool has a holder.
	maxStatusAge = 1500 * time.Millisecond
	// maxRowsPerWrite leaves space for the fence, the roster and the counts in a
	// transaction, which can have 100 rows.
	maxRowsPerWrite = 80
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 150 * time.Millisecond
	// adviceRetryDelay is the pause after an advice request that failed or returned no
	// eligible worker.
	adviceRetryDelay = 300 * time.Millisecond
	// tooLateFactor is the multiple of the time allowed by its objective after which a
	// workflow is too late to be worth anything.
	tooLateFactor = 3
)
