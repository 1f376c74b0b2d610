package flow

import (
	"strconv"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// health is what is suspected of a worker from how its runs end.
type health struct {
	// avoidUntil keeps starts away.
	avoidUntil time.Time
	// failedInRow counts runs that failed since one succeeded.
	failedInRow int
	failedAt    time.Time
	// slowUntil is until when the worker is used last, since a run was too slow there.
	slowUntil time.Time
}

const (
	// quarantineFailures is how many runs in a row have to fail for a worker to be
	// left alone for a while; single tasks fail by themselves.
	quarantineFailures = 3
	// quarantineTime is how long a worker is left alone before it is tried again.
	quarantineTime = 3 * time.Second
	// failureMemory is how long a failure counts against a worker.
	failureMemory = 5 * time.Second
	// maxQuarantined is the part of the workers that may be left alone at the same
	// time, so that a common cause doesn't close the pool.
	maxQuarantined = 0.34
)

// suspicion returns how doubtful a worker is, from 0 to 1.
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

// recordRunFailure notes that a run failed on a worker.
func (m *Machine) recordRunFailure(w *worker) {
	w.health.failedInRow++
	w.health.failedAt = m.now
	if w.health.failedInRow < quarantineFailures || m.quarantinedShare() >= maxQuarantined {
		return
	}
	w.health.avoidUntil = m.now.Add(quarantineTime)
	m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "quarantined", Reason: formatInt(int64(w.health.failedInRow)) + " runs failed in a row"})
}

// quarantinedShare returns which part of the workers is left alone.
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

// checkLatency ends opportunistic tasks that slow down a task which serves.
func (m *Machine) checkLatency(w *worker) {
	if w.opportunistic == 0 || w.serving == 0 || !w.exceedsLatencyTarget() {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.task != nil && r.task.step.spec.Opportunistic {
			m.stopRun(r, "a task that serves is over its latency target")
		}
	}
}

// exceedsLatencyTarget reports whether a task that serves is over its latency target.
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

// evacuate moves what can't end before a worker leaves.
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
			m.stopRun(r, "the worker leaves before the task would end")
		}
	}
}

// defaultLeaveNotice is how long a worker stays that didn't say how long.
const defaultLeaveNotice = 3 * time.Second

// formatInt formats a number for a note.
func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// logDecision emits a decision for the log. What is about a task is also about its job.
func (m *Machine) logDecision(n Decision) {
	if n.Job == "" && n.Task != "" {
		job, _, _ := strings.Cut(string(n.Task), ".")
		n.Job = endive.JobID(job)
	}
	m.emit(n)
}

var _ endive.Machine = (*Machine)(nil)
