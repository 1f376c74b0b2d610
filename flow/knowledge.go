package flow

import (
	"time"

	"endiveroute.example/endive"
)

// A new holder doesn't know which tasks earlier holders have started on a worker, nor how they ended, until the
// worker has said so. A worker lists all of its runs in each answer, but only its oldest ends. It lists the others
// once those are recorded and acknowledged. A task whose end may be among the others must not start again.

// knowledge is what this holder knows of the runs that earlier holders have started on a worker.
type knowledge int

const (
	// knowsNothing means that the worker hasn't answered in this tenure.
	knowsNothing knowledge = iota
	// knowsRuns means that the worker has answered, so that all of its runs are known, but not all of its ends.
	knowsRuns
	// knowsEnds means that the worker's list of ends has been read as a whole.
	knowsEnds
)

// answered reports whether the worker has answered in this tenure, so that all of its runs are known.
func (w *worker) answered() bool { return w.knowledge >= knowsRuns }

// endsKnown reports whether, besides, all ends are known that the worker listed when it answered first.
func (w *worker) endsKnown() bool { return w.knowledge == knowsEnds }

// mayHideRuns reports whether a task that an earlier holder has started may be on the worker without this holder's
// knowledge: it runs there, or has ended and isn't listed yet. Once all leases of a silent worker have expired, what
// it may still list doesn't count any more.
func (m *Machine) mayHideRuns(w *worker) bool {
	switch w.knowledge {
	case knowsNothing:
		return m.now.Before(m.tenure.takeoverDeadline)
	case knowsRuns:
		return w.failedPolls == 0 || m.now.Before(w.leasesExpireAt())
	default:
		return false
	}
}

// nextTakeoverStep returns when the next worker that doesn't answer can't hide runs any more; zero for never.
func (m *Machine) nextTakeoverStep() time.Time {
	var next time.Time
	if m.tenure.takeoverDeadline.After(m.now) {
		next = m.tenure.takeoverDeadline
	}
	for _, w := range m.sortedWorkers {
		if w.knowledge == knowsRuns && w.failedPolls > 0 && w.leasesExpireAt().After(m.now) {
			next = endive.Earliest(next, w.leasesExpireAt())
		}
	}
	return next
}

// OutcomeMalformed is the outcome of a Decision about a worker's answer that contradicts itself. It is logged as an
// error.
const OutcomeMalformed = "malformed answer"

// learn updates what is known of the earlier holders' runs on a worker by its answer to a poll. newEnds is true if the
// answer has ends that weren't known, and recorded is the end up to which the poll acknowledged them.
func (m *Machine) learn(w *worker, answer endive.PollReport, newEnds bool, recorded endive.EndNumber) {
	previous := w.knowledge
	if previous == knowsNothing {
		w.knowledge = knowsRuns
		if w.inherited {
			// From this answer on the worker refuses the calls of earlier holders. It may have restarted unseen by them.
			w.oldLeasesExpireAt = endive.Latest(w.oldLeasesExpireAt, m.now.Add(m.longestLease()))
		}
		m.passDue = true
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "adopted", Reason: formatInt(int64(len(w.runs))) + " runs on the worker" + describeMore(answer.More)})
	}
	if previous == knowsEnds || answer.More && (newEnds || recorded < w.lastEnd) {
		return
	}
	if answer.More {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: OutcomeMalformed, Reason: "it has more ends than it lists, but none after " + formatInt(int64(w.lastEnd))})
	}
	w.knowledge = knowsEnds
	m.passDue = true
	if previous == knowsRuns {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "ends known", Reason: "up to " + formatInt(int64(w.lastEnd))})
	}
}

// describeMore describes for the log that a worker's list of ends was cut short.
func describeMore(more bool) string {
	if !more {
		return ""
	}
	return ", more ends than it lists"
}
