package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// Some tasks crash each worker that starts them. Such a task is given up, and its workflow fails,
// before it has taken many workers down. But a crashed worker has many runs, of which at most one
// is the cause, and workers also crash, lose power or are cut off for reasons of their own: no
// workflow may fail for that.
//
// A run is a suspect if its worker wasn't seen alive for some time after the run had started. The
// tasks of suspects are started again one at a time on each worker: nothing else is started there
// just before and just after. If the worker crashes once more, that run alone is the suspect. If the
// worker lives on, the task is cleared.
//
// A worker that refuses connections or isn't listed may have crashed, or may be cut off and run on. That is
// enough to suspect its tasks, but not to give one up: a failed workflow can't be taken back. See proof.go.

const (
	// crashWindow is how long a worker must have been seen alive after the start of a run for the
	// run not to be a suspect.
	crashWindow = 500 * time.Millisecond
	// maxCrashes is the number of crashes after which a task is given up. maxIsolatedCrashes is that
	// number for crashes after isolated starts, while no worker crashes without a suspect: with the
	// first crash, after which the starts are isolated, the task has then started three times.
	maxCrashes         = 4
	maxIsolatedCrashes = 2
	// maxAllCrashes is the number of crashes, at any time after a start, after which a task is given up
	// whatever their chance: three more starts after three crashes are too many. minProvenCrashes of them
	// have to be proven.
	maxAllCrashes    = 5
	minProvenCrashes = 2
	// unexplainedMemory is how long a crash without a suspect makes other crashes less convincing.
	unexplainedMemory = 20 * time.Second
	// maxIsolatedShare is the maximum share of the workers on which isolated runs start at the same
	// time, since each of them may crash. saturatedIsolatedShare is the maximum while other work
	// waits for capacity.
	maxIsolatedShare       = 0.5
	saturatedIsolatedShare = 0.2
	// isolationTimeout is how long a worker is kept from other starts for a task that should start
	// there alone.
	isolationTimeout = 3 * time.Second
)

// crashes are the runs of a task under which workers have crashed.
type crashes struct {
	// runs are the numbers of these runs; isolated are those of them that were started alone.
	runs, isolated []endive.RunNumber
	// late are the numbers of the runs under which workers crashed later, or that were cleared.
	// lateSuspected is true if there are too many of them for a harmless task.
	late          []endive.RunNumber
	lateSuspected bool
	// outlived are the numbers of earlier runs under which workers crashed later, before a run was seen
	// alive for long, or that may have ended with their leases before the crash. They don't make the task
	// suspected.
	outlived []endive.RunNumber
	// proven are those of all these runs whose workers have surely crashed. unproven are those whose workers
	// may only be cut off, as far as it is known which worker it was.
	proven   []endive.RunNumber
	unproven []pendingRun
	// unjudged are those whose proof came after a takeover, before it was known that the task doesn't run.
	unjudged []lostRun
	// proofDeadline is until when a task with too many crashes waits for proof of them.
	proofDeadline time.Time
	// recordedDeadline is the same time as it is recorded for the next holder; 0 for none.
	recordedDeadline endive.PlatformTime
	// maxAge is the highest age of the runs when their workers crashed.
	maxAge time.Duration
	// unrecorded is true if a crash isn't recorded yet. The task doesn't start before that, so that
	// the crash counts after a takeover.
	unrecorded bool
	pending    pendingRun
	// address is where the last crash happened in this tenure. A worker that restarts keeps its
	// address, with the same id or another.
	address endive.Address
	// keptOn is the worker that is kept from other starts for the task; nil if none is.
	keptOn *worker
}

// suspected reports whether the task may be the cause of a crash.
func (c *crashes) suspected() bool { return len(c.runs) > 0 || c.lateSuspected }

// add counts a crash under a run once.
func (c *crashes) add(n endive.RunNumber, isolated bool) {
	if !slices.Contains(c.runs, n) {
		c.runs = append(c.runs, n)
	}
	if isolated && !slices.Contains(c.isolated, n) {
		c.isolated = append(c.isolated, n)
	}
	c.removePending(n)
	c.unrecorded = true
}

// remove removes a run under which a worker was taken as crashed, and reports whether it was counted.
func (c *crashes) remove(n endive.RunNumber) bool {
	counted := false
	c.removeUnproven(n)
	for _, runs := range []*[]endive.RunNumber{&c.runs, &c.isolated, &c.late, &c.outlived} {
		if i := slices.Index(*runs, n); i >= 0 {
			*runs = slices.Delete(*runs, i, i+1)
			counted = true
		}
	}
	c.lateSuspected = c.lateSuspected && c.total() >= minLateCrashes
	return counted
}

// mayHaveCrashed reports whether a run may be the cause of a crash of its worker.
func (r *run) mayHaveCrashed() bool {
	if r.harmless {
		return false
	}
	return r.startUnconfirmed || r.state == runStarting || r.worker.seenAliveAt().Sub(r.startedAt) < crashWindow
}

// suspects returns the runs that may be the cause of a crash of the worker.
func (w *worker) suspects() []*run {
	var suspects []*run
	for _, r := range w.sortedRuns() {
		if r.task != nil && r.mayHaveCrashed() {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// hasSuspects reports whether a crash of the worker now would have a suspect.
func (w *worker) hasSuspects() bool { return !w.suspectsUntil().IsZero() }

// suspectsUntil returns when the last suspect among the worker's runs will no longer be one if the
// worker is seen alive then; zero if there is none.
func (w *worker) suspectsUntil() time.Time {
	var until time.Time
	for _, r := range w.runs {
		if r.task != nil && r.mayHaveCrashed() {
			until = endive.Latest(until, r.startedAt.Add(crashWindow))
		}
	}
	return until
}

// suspectPollWait returns how long a worker with suspects may hold back its answer to a poll: the
// answer shows that it is alive as soon as the last of them is no longer one.
func suspectPollWait(now, until time.Time) endive.Interval {
	return min(pollWait, max(minSuspectPollWait, endive.Interval(until.Sub(now))))
}

// minSuspectPollWait is the shortest such wait.
const minSuspectPollWait = endive.Interval(50 * time.Millisecond)

// recordUnexplained notes the loss of a worker. Without suspects, it was lost for a reason of its own.
func (m *Machine) recordUnexplained(w *worker, lost []lostRun) {
	suspected := slices.ContainsFunc(lost, func(l lostRun) bool { return !l.late })
	if !suspected && !w.lossRecorded && !w.info.Draining && !m.hasPendingRun(w) {
		m.unexplainedCrashAt = m.now
	}
	w.lossRecorded = true
}

// recordTaskCrash counts a crash under a run against its task, and reports whether it counts.
func (m *Machine) recordTaskCrash(l lostRun) bool {
	t := l.task
	if t.state >= taskSucceeded || t.step.occ.job.state.Ended() {
		return false
	}
	t.crashes.add(l.run.number, l.run.isolated)
	m.markDirty(t.step.occ.job, rowUrgent)
	m.logDecision(Decision{Kind: DecisionEnd, Task: t.id, Run: l.run.number, Worker: l.run.worker, Outcome: OutcomeSuspect,
		Reason: t.crashes.String() + "; the last one: " + l.evidence.String(), Evidence: l.evidence, Crashes: l.crashCount()})
	return true
}

// clearSuspect ends the suspicion of a task whose run has been seen alive long enough. The crashes
// under the task still count as late ones.
func (m *Machine) clearSuspect(t *task) {
	if !t.crashes.suspected() {
		return
	}
	m.logDecision(Decision{Kind: DecisionEnd, Task: t.id, Run: t.lastRun, Outcome: "cleared", Reason: "its worker lives on after an isolated start"})
	c := &t.crashes
	*c = crashes{
		late: append(c.late, c.runs...), outlived: c.outlived, proven: c.proven, unproven: c.unproven, proofDeadline: c.proofDeadline, maxAge: c.maxAge,
	}
	m.markDirty(t.step.occ.job, rowLazy)
}
