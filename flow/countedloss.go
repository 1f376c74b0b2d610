package flow

import (
	"slices"
	"time"
)

// countedMemory is how long a counted loss is kept. A worker that is cut off for longer is taken as crashed.
const countedMemory = time.Minute

// countedLosses are the lost runs that were lately counted against their tasks as crashes. A worker that
// refused connections and wasn't listed counts as crashed; if the same incarnation answers again, it was only
// cut off.
type countedLosses struct {
	losses []countedLoss
}

// countedLoss is a lost run, and when it was counted.
type countedLoss struct {
	lost lostRun
	at   time.Time
}

// add adds a lost run and deletes those that are too old.
func (c *countedLosses) add(l lostRun, now time.Time) {
	c.losses = slices.DeleteFunc(c.losses, func(old countedLoss) bool { return now.Sub(old.at) > countedMemory })
	c.losses = append(c.losses, countedLoss{lost: l, at: now})
}

// take removes and returns the lost runs of the worker's incarnation.
func (c *countedLosses) take(w *worker) []lostRun {
	if len(c.losses) == 0 || !w.incarnationKnown() {
		return nil
	}
	var taken []lostRun
	c.losses = slices.DeleteFunc(c.losses, func(one countedLoss) bool {
		run := one.lost.run
		if run.worker != w.id || run.workerStart != w.info.StartTime.UnixMilli() {
			return false
		}
		taken = append(taken, one.lost)
		return true
	})
	return taken
}

// forgetCrash takes back that a run was counted as a crash of its worker, which has answered again.
func (m *Machine) forgetCrash(w *worker, l lostRun) {
	t := l.task
	if t.step.occ.job.state.Ended() || !t.crashes.remove(l.run.number) {
		return
	}
	m.markDirty(t.step.occ.job, rowUrgent)
	m.passDue = true
	m.logDecision(Decision{Kind: DecisionEnd, Task: t.id, Run: l.run.number, Worker: w.id, Outcome: "not crashed", Reason: "the worker of the run answers again, " +
		formatInt(int64(t.crashes.total())) + " crashes remain"})
}
