package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// reconcileRuns compares the runs that a worker reports in the answer to a poll with those that it
// should have.
func (m *Machine) reconcileRuns(w *worker, poll PollID, answer endive.PollReport, sent openPoll) {
	reported := make(map[endive.TaskID]bool, len(answer.Running))
	for _, report := range answer.Running {
		reported[report.Task] = true
		r := w.runs[report.Task]
		if r != nil && r.number == report.Run {
			m.updateRun(r, report)
			continue
		}
		if r == nil {
			m.handleUnknownRun(w, report)
		}
	}
	if answer.More {
		// A run that isn't reported may have ended: its end may be one of those that are left out.
		return
	}
	if sent.sentTo < w.incarnations {
		// The worker may still carry out a late order to start that was sent to an earlier incarnation.
		return
	}
	for _, r := range w.sortedRuns() {
		switch {
		case reported[r.id]:
		case r.isOnFormer() && m.mayStartLate(r):
			// The worker refuses the late order now, but not after its next restart.
		case r.isOnFormer():
			m.removeAbsent(r, "the worker has restarted, and reports neither the run nor its end")
		case r.state == runStarting && r.unansweredStep > 0 && r.unansweredStep < uint64(poll):
			m.stopRun(r, "its start is unconfirmed")
		case r.confirmedStep > 0 && r.confirmedStep < uint64(poll):
			// A run that was confirmed before this poll was sent would be in the answer.
			m.removeAbsent(r, "the worker reports neither the run nor its end")
		}
	}
}

// removeAbsent removes a run that its worker neither has nor will have.
func (m *Machine) removeAbsent(r *run, reason string) {
	m.logDecision(Decision{Kind: DecisionEnd, Task: r.id, Run: r.number, Worker: r.worker.id, Outcome: "absent", Reason: reason})
	m.removeRun(r)
	m.recordAbsence(r)
	if r.task != nil {
		m.abortGang(r.task.step, "a member of the gang is absent")
	}
}

// updateRun applies the reported progress of a run.
func (m *Machine) updateRun(r *run, report endive.RunReport) {
	if r.unread != nil {
		r.unread.report = report
	}
	r.loss, r.reported, r.formerLeaseEnd = nil, true, time.Time{}
	if report.Percent != r.percent {
		r.percent, r.percentAt = report.Percent, m.now
	}
	r.tailLatency = report.TailLatency
	if r.task != nil && r.state == runRunning {
		m.updatePace(r)
	}
	if r.task != nil && report.Checkpoint != "" {
		r.task.checkpoint = report.Checkpoint
	}
	if r.state == runStarting {
		m.confirmRun(r)
	}
	if r.state == runStopping && r.isOnFormer() && !r.inFlight {
		// The order to stop it was sent to the earlier incarnation.
		m.sendStop(r)
	}
}

// sortedRuns returns the runs of a worker in the order of their tasks.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].id < runs[j].id })
	return runs
}
