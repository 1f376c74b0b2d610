package place

import "time"

const (
	// sweepInterval is the interval of the checks for expired deadlines and leases.
	sweepInterval = 250 * time.Millisecond
	// probeInterval is the interval of commands to a worker that doesn't answer.
	probeInterval = time.Second
	// pollInterval is the interval of commands to a worker that has stopping tasks,
	// or tasks that may have ended while others wait for capacity.
	pollInterval = time.Second
	// silenceTimeout is how long the leases on a worker are renewed without an
	// answer from it.
	silenceTimeout = 10 * time.Second
	// batchDelay is how long rows are collected for one transaction.
	batchDelay = 10 * time.Millisecond
	// commitRetryDelay is the delay before a transaction that was not applied is
	// tried again.
	commitRetryDelay      = 250 * time.Millisecond
	maxRowsPerTransaction = 1000
	// maxCancelsPerStep bounds the cancellations that one step applies, so that a
	// step stays short.
	maxCancelsPerStep = 1000
	// maxPlacementsPerStep bounds the tasks that one step places, so that a step
	// stays short.
	maxPlacementsPerStep = 256
	// maxTaskLosses is how often a task is started again at once after the loss
	// of its worker.
	maxTaskLosses = 10
	// firstBackoff and maxBackoff bound the delay before a failed task is retried.
	firstBackoff = time.Second
	maxBackoff   = 5 * time.Minute
	// quarantineFailures is the number of different jobs that must fail in a row on
	// a worker for it to be quarantined.
	quarantineFailures = 3
	// jobFaultWorkers is the number of workers on which a job must fail in a row
	// for its failures to count as its own fault, and no longer against the
	// workers.
	jobFaultWorkers = 3
	// firstQuarantine and maxQuarantine bound the duration of a quarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = 30 * time.Minute
	// trialDuration is how long the first task after a quarantine must run before
	// the worker gets another one.
	trialDuration = time.Minute
	// maxClaims bounds the tasks of an urgent job for which capacity is claimed at
	// the same time.
	maxClaims = 256
	// teamQueueCost is the cost of a lookup of one team's queue by map, relative to
	// visiting a queue in a list.
	teamQueueCost = 8
	// maxGangTries bounds the gangs of one priority that a scheduling pass tries to
	// place.
	maxGangTries = 4
)
