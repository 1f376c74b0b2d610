package place

import "time"

const (
	// sweepInterval is the period of checks for what is due by the clock.
	sweepInterval = 250 * time.Millisecond
	// probeInterval is the period of questions to a worker that doesn't answer.
	probeInterval = time.Second
	// pollInterval is the period of questions to a worker with a task that may have
	// ended, while others wait.
	pollInterval = time.Second
	// silenceTimeout is how long a worker's tasks are renewed without an answer.
	silenceTimeout = 10 * time.Second
	// batchDelay collects rows for one transaction.
	batchDelay = 10 * time.Millisecond
	// commitRetryDelay is the delay of a transaction that was not applied.
	commitRetryDelay = 250 * time.Millisecond
	// maxRowsPerTransaction bounds the rows of one transaction.
	maxRowsPerTransaction = 1000
	// maxCancelsPerStep bounds the cancellations that one step takes in.
	maxCancelsPerStep = 1000
	// maxPlacementsPerStep bounds the placements of one step.
	maxPlacementsPerStep = 256
	// maxTaskLosses is how often a task may be lost with its worker.
	maxTaskLosses = 10
	// firstBackoff and maxBackoff bound the delay before a failed task is tried
	// again.
	firstBackoff = time.Second
	maxBackoff   = 5 * time.Minute
	// quarantineFailures is how many unlike jobs in a row fail on a worker before it
	// is quarantined.
	quarantineFailures = 3
	// jobFaultWorkers is on how many workers in a row a job fails before its
	// failures count against no worker.
	jobFaultWorkers = 3
	// firstQuarantine and maxQuarantine bound a quarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = 30 * time.Minute
	// trialDuration is how long a task runs on a worker after its quarantine before the
	// next may start there.
	trialDuration = time.Minute
	// maxClaims bounds the urgent tasks that tasks are preempted for at a time.
	maxClaims = 256
	// teamQueueCost is the cost of finding a team's line over that of looking at one.
	teamQueueCost = 8
	// maxGangTries bounds the gangs of one priority that are tried in a pass.
	maxGangTries = 4
)
