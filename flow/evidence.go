package flow

import (
	"strings"
	"time"

	"endiveroute.example/endive"
)

// Evidence is the kind of evidence that a decision rests on, as a word for logs and metrics.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceReported is what workers have reported of their runs, and EvidenceClient a client's request.
	EvidenceReported Evidence = "reported"
	EvidenceClient   Evidence = "client"
	// EvidenceCrashes are the crashes of workers under a task.
	EvidenceCrashes Evidence = "crashes"
	// EvidenceRestarted and EvidenceReplaced prove that the incarnation of a worker is over.
	EvidenceRestarted Evidence = "restarted"
	EvidenceReplaced  Evidence = "replaced"
	// A worker that is cut off also refuses connections, isn't listed, or is silent.
	EvidenceRefused  Evidence = "refused"
	EvidenceUnlisted Evidence = "unlisted"
	EvidenceSilent   Evidence = "silent"
	// EvidenceAnswered is an answer of a worker that was taken as crashed.
	EvidenceAnswered Evidence = "answered"
)

// The outcomes of decisions about runs that were given up, and about crashes of their workers.
const (
	OutcomeLost        = "lost"
	OutcomeSuspect     = "suspect"
	OutcomeLateCrash   = "late crash"
	OutcomeCrashProven = "crash proven"
	OutcomeNotCrashed  = "not crashed"
)

// OutcomeLaterIncarnation is the outcome of a decision about an order to start that a later incarnation of the worker
// than the known one has answered.
const OutcomeLaterIncarnation = "answered by a later incarnation"

// CrashCount is how many crashes of workers count against a task.
type CrashCount struct{ Proven, Unproven int }

// Contact is what the holder knows of a worker whose runs it gives up.
type Contact struct {
	// AnsweredAt is when the worker's last answer to a poll arrived; zero if there was none in this tenure.
	AnsweredAt time.Time
	// LeasesEnd is when all leases granted to the worker have surely expired; zero if none were.
	LeasesEnd time.Time
	Listed    bool
	// Reported is true if the worker's known incarnation has listed the run, or has answered the order to start it.
	Reported bool
}

// Proof reports whether the evidence proves that the incarnation of a worker is over.
func (e Evidence) Proof() bool { return e == EvidenceRestarted || e == EvidenceReplaced }

// String describes why a worker counts as crashed; for other evidence it returns the word.
func (e Evidence) String() string {
	switch e {
	case EvidenceRestarted:
		return "it has started anew"
	case EvidenceReplaced:
		return "another worker is at its address or on its machine"
	case EvidenceRefused:
		return "its address refuses connections"
	case EvidenceUnlisted:
		return "the platform doesn't list it"
	default:
		return string(e)
	}
}

// count counts the crashes for the log.
func (c *crashes) count() *CrashCount {
	proven := c.provenTotal() + c.countProven(c.outlived...)
	return &CrashCount{Proven: proven, Unproven: c.all() - proven}
}

// countWith counts the crashes for the log, that under a run as proven.
func (c *crashes) countWith(n endive.RunNumber) *CrashCount {
	count := c.count()
	if c.countProven(n) == 0 && count.Unproven > 0 {
		count.Proven, count.Unproven = count.Proven+1, count.Unproven-1
	}
	return count
}

// crashCount counts the crashes under the task of a lost run, which counts already, for the log.
func (l lostRun) crashCount() *CrashCount {
	if l.evidence.Proof() {
		return l.task.crashes.countWith(l.run.number)
	}
	return l.task.crashes.count()
}

// logLost logs that a run is given up without a report of its end, and what is known of its worker.
func (m *Machine) logLost(r *run, reason string) {
	w := r.worker
	evidence := EvidenceSilent
	if w.seemsCrashed() {
		evidence = w.crashEvidence()
	}
	m.logDecision(Decision{
		Kind: DecisionEnd, Task: r.id, Run: r.number, Worker: w.id, Outcome: OutcomeLost, Reason: reason, Evidence: evidence,
		Contact: &Contact{AnsweredAt: w.answeredAt, LeasesEnd: w.leasesExpireAt(), Listed: w.listed, Reported: r.reported},
	})
}

// failForCrashes fails the workflow of a task under which too many workers have crashed.
func (m *Machine) failForCrashes(t *task) {
	m.finishJob(t.step.occ.job, endive.WorkflowFailed, Decision{
		Task: t.id, Evidence: EvidenceCrashes, Crashes: t.crashes.count(), Reason: "task " + string(t.id) + " crashes its workers: " + t.crashes.verdict(),
	})
}

// unansweredWorkers returns the workers that haven't answered in this tenure.
func (m *Machine) unansweredWorkers() []string {
	var silent []string
	for _, w := range m.sortedWorkers {
		if !w.answered() {
			silent = append(silent, string(w.id))
		}
	}
	return silent
}

// maxNamedWorkers limits the workers that a log line names.
const maxNamedWorkers = 8

// describeSilent describes the workers without an answer for the log.
func describeSilent(silent []string) string {
	if len(silent) == 0 {
		return ""
	}
	text := ", without an answer of " + strings.Join(silent[:min(len(silent), maxNamedWorkers)], " ")
	if more := len(silent) - maxNamedWorkers; more > 0 {
		text += " and " + formatInt(int64(more)) + " more"
	}
	return text
}
