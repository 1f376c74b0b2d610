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
	// failuresToDoubt is how many runs in a row have to fail for a worker to be
	// left alone for a while; single tasks fail by themselves.
	failuresToDoubt = 3
	// quarantine is how long a worker is left alone before it is tried again.
	quarantine = 3 * time.Second
	// doubtTime is how long a failure counts against a worker.
	doubtTime = 5 * time.Second
	// maxQuarantined is the part of the workers that may be left alone at the same
	// time, so that a common cause doesn't close the pool.
	maxQuarantined = 0.34
)

// doubt returns how doubtful a worker is, from 0 to 1.
func (h *health) doubt(now time.Time) float64 {
	if now.Before(h.slowUntil) {
		return 1
	}
	if h.failedInRow == 0 || now.Sub(h.failedAt) > doubtTime {
		return 0
	}
	return min(1, float64(h.failedInRow)/failuresToDoubt)
}

func (h *health) good() { h.failedInRow = 0 }

// runFailed notes that a run failed on a worker.
func (m *Machine) runFailed(w *worker) {
	w.health.failedInRow++
	w.health.failedAt = m.now
	if w.health.failedInRow < failuresToDoubt || m.quarantined() >= maxQuarantined {
		return
	}
	w.health.avoidUntil = m.now.Add(quarantine)
	m.note(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "quarantined", Reason: number(int64(w.health.failedInRow)) + " runs failed in a row"})
}

// quarantined returns which part of the workers is left alone.
func (m *Machine) quarantined() float64 {
	if len(m.ordered) == 0 {
		return 0
	}
	count := 0
	for _, w := range m.ordered {
		if m.now.Before(w.health.avoidUntil) {
			count++
		}
	}
	return float64(count) / float64(len(m.ordered))
}

// watchHealth ends opportunistic tasks that slow down a task which serves.
func (m *Machine) watchHealth(w *worker) {
	if w.filling == 0 || w.serving == 0 || !w.overTarget() {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.task != nil && r.task.step.spec.Opportunistic {
			m.stopRun(r, "a task that serves is over its latency target")
		}
	}
}

// overTarget reports whether a task that serves is over its latency target.
func (w *worker) overTarget() bool {
	for _, r := range w.runs {
		if r.task == nil || !r.task.step.spec.Serves() {
			continue
		}
		if r.tail >= r.task.step.spec.LatencyTarget {
			return true
		}
	}
	return false
}

// evacuate moves what can't end before a worker leaves.
func (m *Machine) evacuate(w *worker) {
	leaves := time.Duration(w.self.LeavesIn)
	if leaves == 0 {
		leaves = defaultNotice
	}
	for _, r := range w.sortedRuns() {
		if r.task == nil || r.state == runStopping {
			continue
		}
		if r.task.step.spec.LongRunning || m.left(r) > leaves {
			m.stopRun(r, "the worker leaves before the task would end")
		}
	}
}

// defaultNotice is how long a worker stays that didn't say how long.
const defaultNotice = 3 * time.Second

// number formats a number for a note.
func number(n int64) string { return strconv.FormatInt(n, 10) }

// note emits a decision for the log. What is about a task is also about its job.
func (m *Machine) note(n Decision) {
	if n.Job == "" && n.Task != "" {
		job, _, _ := strings.Cut(string(n.Task), ".")
		n.Job = endive.JobID(job)
	}
	m.emit(n)
}

var _ endive.Machine = (*Machine)(nil)
