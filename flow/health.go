package flow

import (
	"strconv"
	"time"

	"endiveroute.example/endive"
)

// health is the state of a worker's health as derived from its runs.
type health struct {
	// No task is started on the worker before avoidUntil.
	avoidUntil time.Time
	// failedInRow counts the failed runs since the last successful one.
	failedInRow int
	failedAt    time.Time
	// Other workers are preferred before slowUntil, because a run was too slow on this one.
	slowUntil time.Time
}

const (
	// quarantineFailures is how many runs in a row must fail for a worker to be
	// quarantined. Single tasks may fail for reasons of their own.
	quarantineFailures = 3
	// quarantineTime is how long a worker is quarantined.
	quarantineTime = 3 * time.Second
	// failureMemory is how long a failure lowers a worker's score.
	failureMemory = 5 * time.Second
	// maxQuarantined is the maximum share of the workers in quarantine at the same time.
	// The limit keeps the pool usable when tasks on all workers fail for a common reason.
	maxQuarantined = 0.34
)

// suspicion returns how likely the worker is unhealthy, from 0 to 1.
func (h *health) suspicion(now time.Time) float64 {
	if now.Before(h.slowUntil) {
		return 1
	}
	if h.failedInRow == 0 || now.Sub(h.failedAt) > failureMemory {
		return 0
	}
	return min(1, float64(h.failedInRow)/quarantineFailures)
}

func (h *health) recordSuccess() { h.failedInRow = 0 }

// recordRunFailure counts a failed run and quarantines the worker after too many in a row.
func (m *Machine) recordRunFailure(w *worker) {
	w.health.failedInRow++
	w.health.failedAt = m.now
	if w.health.failedInRow < quarantineFailures || m.quarantinedShare() >= maxQuarantined {
		return
	}
	w.health.avoidUntil = m.now.Add(quarantineTime)
	m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "quarantined", Reason: formatInt(int64(w.health.failedInRow)) + " runs failed in a row"})
}

// quarantinedShare returns the share of the workers that get no tasks for now.
func (m *Machine) quarantinedShare() float64 {
	if len(m.sortedWorkers) == 0 {
		return 0
	}
	count := 0
	for _, w := range m.sortedWorkers {
		if m.now.Before(w.health.avoidUntil) {
			count++
		}
	}
	return float64(count) / float64(len(m.sortedWorkers))
}

// checkLatency stops the opportunistic tasks on a worker if a task that serves user requests
// on the same worker exceeds its latency target.
func (m *Machine) checkLatency(w *worker) {
	if w.opportunistic == 0 || w.serving == 0 || !w.exceedsLatencyTarget() {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.task != nil && r.task.step.spec.Opportunistic {
			m.stopRun(r, "a task that serves users exceeds its latency target")
		}
	}
}

// exceedsLatencyTarget reports whether a task that serves user requests on the worker has
// reached its latency target.
func (w *worker) exceedsLatencyTarget() bool {
	for _, r := range w.runs {
		if r.task == nil || !r.task.step.spec.Serves() {
			continue
		}
		if r.tailLatency >= r.task.step.spec.LatencyTarget {
			return true
		}
	}
	return false
}

// evacuate stops the runs that won't end before a draining worker shuts down, so that their
// tasks can start elsewhere.
func (m *Machine) evacuate(w *worker) {
	leaveNotice := time.Duration(w.info.LeavesIn)
	if leaveNotice == 0 {
		leaveNotice = defaultLeaveNotice
	}
	for _, r := range w.sortedRuns() {
		if r.task == nil || r.state == runStopping {
			continue
		}
		if r.task.step.spec.LongRunning || m.runRemaining(r) > leaveNotice {
			m.stopRun(r, "the worker shuts down before the task would end")
		}
	}
}

// defaultLeaveNotice is the assumed time until a draining worker shuts down if the worker
// didn't announce a time.
const defaultLeaveNotice = 3 * time.Second

// formatInt formats a number for the reason of a decision.
func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// logDecision emits a decision for the log. It derives a missing job ID from the task's ID.
func (m *Machine) logDecision(d Decision) {
	if d.Job == "" && d.Task != "" {
		d.Job = jobOf(d.Task)
	}
	m.emit(d)
}

var _ endive.Machine = (*Machine)(nil)
