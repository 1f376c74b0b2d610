package flow

import "endiveroute.example/endive"

// handleUnknownRun adopts or stops a run that a worker reports and that isn't tracked. It may
// come from an earlier holder, or from an order that was carried out late.
func (m *Machine) handleUnknownRun(w *worker, report endive.RunReport) {
	if m.mayBeUnread(report.Task) {
		m.keepUnreadRun(w, report)
		return
	}
	m.adoptOrStop(w, report, !w.answered())
}

// adoptOrStop adopts a run of an earlier holder, if its task waits for one, or stops it. inherited is true if the run
// was there when the worker answered first.
func (m *Machine) adoptOrStop(w *worker, report endive.RunReport, inherited bool) {
	t := m.reportedTask(report.Task)
	adopt := t != nil && t.run == nil && t.state == taskWaiting && !t.step.occ.job.state.Ended() && inherited
	if !adopt {
		r := m.addOrphan(w, t, report)
		m.stopRun(r, "the run is not the task's current run")
		return
	}
	r := m.addRun(w, t, report.Run, runRunning)
	r.confirmedStep = m.stepCount
	r.harmless, r.reported = true, true
	r.percent, r.firstPercent = report.Percent, report.Percent
	t.checkpoint = report.Checkpoint
	j := t.step.occ.job
	if !j.started || j.state == endive.WorkflowQueued {
		j.started = true
		j.state = endive.WorkflowRunning
		m.publishState(j)
		m.markDirty(j, rowLazy)
	}
	if t.step.spec.Gang {
		t.step.gang.run = max(t.step.gang.run, report.Run)
	}
}

// addOrphan adds a run that is to be stopped and allocates its resources. The run doesn't become
// its task's current run.
func (m *Machine) addOrphan(w *worker, t *task, report endive.RunReport) *run {
	r := &run{
		id: report.Task, number: report.Run, worker: w, sentTo: w.incarnations, state: runRunning, startedAt: m.now, percentAt: m.now, reported: true,
	}
	m.allocate(r, t)
	if t != nil {
		r.orphanOf = t
		t.orphans++
	}
	return r
}
