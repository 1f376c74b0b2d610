package flow

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// held takes in what a worker says of itself.
func (m *Machine) held(e PollResult) {
	w := m.workers[e.Worker]
	if w == nil || !w.hold.inFlight {
		return
	}
	w.hold.inFlight = false
	m.touchWorker(w)
	if e.Result != OrderAnswered || e.Answer.Refused != endive.RefusalNone {
		m.lookFailed(w, e)
		return
	}
	if w.failures > 0 {
		m.note(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "answers again", Reason: number(int64(w.failures)) + " looks had failed"})
		w.failures = 0
		m.passDue = true
	}
	if born := e.Report.Born; born.UnixMilli() > 0 && born.Before(w.self.Born) {
		// An answer of an incarnation that is gone says nothing of this one.
		w.hold.again = m.now
		return
	} else if born.After(w.self.Born) {
		m.beginLife(w, born)
	}
	if w.hold.atOnce {
		w.tookWay(m.now.Sub(w.hold.sentAt))
	}
	w.clock = clockReading{at: e.Report.Clock, received: m.now}
	m.takeEnds(w, e.Report.Ended)
	m.takeRunning(w, e.Report.Running)
	if !w.adopted {
		w.adopted = true
		m.passDue = true
		m.note(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "adopted", Reason: number(int64(len(w.runs))) + " runs there"})
	}
	w.hold.again = m.now
	switch {
	case e.Report.More:
	case len(w.open) > 0 && len(w.runs) > 0:
		w.hold.again = m.now.Add(openLook)
	case len(w.open) > 0:
		w.hold.again = m.now.Add(time.Duration(holdWait))
	case len(w.runs) == 0 && w.recorded() == w.newestEnd:
		w.hold.again = m.now.Add(idleLook)
	}
	m.watchHealth(w)
	m.watchProgress(w)
}

// lookFailed decides when to look again.
func (m *Machine) lookFailed(w *worker, e PollResult) {
	reason := string(e.Result)
	if e.Result == OrderAnswered {
		reason = string(e.Answer.Refused)
	}
	switch e.Answer.Refused {
	case endive.RefusalEpoch:
		m.fenced("worker " + string(w.id))
		return
	case endive.RefusalIncarnation:
		w.stale = true
	}
	if m.isGone(w, e) {
		m.forgetGone(w, reason)
		return
	}
	if w.failures == 0 {
		m.note(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "doesn't answer", Reason: reason + ", " + number(int64(len(w.runs))) + " runs there"})
	}
	w.failures++
	w.hold.again = m.now.Add(holdRetry * time.Duration(min(w.failures, 6)))
}

// takeEnds takes in the ends that a worker lists. The room of each is free from
// now on; what follows from it waits until it is recorded.
func (m *Machine) takeEnds(w *worker, ends []endive.EndReport) {
	sort.Slice(ends, func(i, j int) bool { return ends[i].Number < ends[j].Number })
	for _, end := range ends {
		if end.Number <= w.newestEnd {
			continue
		}
		w.newestEnd = end.Number
		m.takeEnd(w, end)
	}
}

func (m *Machine) takeEnd(w *worker, end endive.EndReport) {
	t := m.tasks[end.Task]
	r := w.runs[end.Task]
	current := r != nil && r.number == end.Run
	// A run that was given up before its end was listed says nothing any more,
	// unless its start is from before this tenure.
	counts := current || t != nil && t.run == nil && t.state == taskWaiting && !w.adopted
	if t == nil {
		if current {
			m.removeRun(r)
		}
		return
	}
	if end.Checkpoint != "" && t.state < taskSucceeded && end.Run >= t.lastRun {
		t.checkpoint = end.Checkpoint
	}
	t.lastRun = max(t.lastRun, end.Run)
	j := t.step.occ.job
	m.note(Decision{Kind: DecisionEnd, Job: j.id, Task: t.id, Run: end.Run, Worker: w.id, Outcome: string(end.Kind), Reason: m.endReason(r, current)})
	switch end.Kind {
	case endive.EndSucceeded:
		if counts && !t.step.spec.LongRunning {
			if current && r.firstPercent == 0 {
				t.step.ranWell++
				t.step.ranFor += endive.Interval(m.now.Sub(r.began))
			}
			m.succeeded(t)
			m.recordEnd(w, end.Number, j)
		}
		w.health.good()
	case endive.EndFailed:
		m.taskFailed(t, end, w)
		if !t.step.spec.LongRunning {
			m.recordEnd(w, end.Number, j)
		}
	case endive.EndAlone, endive.EndBroken, endive.EndLapsed, endive.EndStopped:
	}
	if current {
		m.removeRun(r)
	}
	if end.Kind != endive.EndSucceeded {
		m.gangBroken(t.step, "a member ended: "+string(end.Kind))
	}
}

func (m *Machine) endReason(r *run, current bool) string {
	if !current {
		return "not a run of this tenure"
	}
	return "after " + m.now.Sub(r.began).Round(time.Millisecond).String()
}

// succeeded marks a task as done; a gang ends together.
func (m *Machine) succeeded(t *task) {
	before := t.step.unended
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, one := range members {
		if one.state == taskWaiting {
			one.step.waiting--
		}
		if one.state < taskSucceeded {
			one.state = taskSucceeded
			one.step.unended--
		}
	}
	t.step.gang.run = 0
	if before > 0 && t.step.unended == 0 {
		m.learnFrom(t.step)
	}
	m.passDue = true
	m.closeJob(t.step.occ.job)
}

// closeJob gives the job its final state if all tasks have succeeded.
func (m *Machine) closeJob(j *job) {
	if j.state.Ended() || j.nextOcc < j.spec.Schedule.Count() {
		return
	}
	for _, occ := range j.occs {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				if t.state < taskSucceeded {
					return
				}
			}
		}
	}
	m.finish(j, endive.WorkflowSucceeded, "all tasks have succeeded")
}

// taskFailed counts a failure, once.
func (m *Machine) taskFailed(t *task, end endive.EndReport, w *worker) {
	m.runFailed(w)
	if t.state >= taskSucceeded {
		return
	}
	t.avoid = w.id
	j := t.step.occ.job
	if t.step.spec.LongRunning || slices.Contains(t.failed, end.Run) {
		return
	}
	t.failed = append(t.failed, end.Run)
	failures := len(t.failed)
	if t.step.spec.Gang {
		if !slices.Contains(t.step.gang.failed, end.Run) {
			t.step.gang.failed = append(t.step.gang.failed, end.Run)
		}
		failures = len(t.step.gang.failed)
	}
	m.touch(j, rowUrgent)
	if failures >= j.policy.MaxAttempts {
		m.finish(j, endive.WorkflowFailed, "task "+string(t.id)+" failed "+number(int64(failures))+" times")
	}
}

// takeRunning compares what a worker says it runs with what it should run.
func (m *Machine) takeRunning(w *worker, running []endive.RunReport) {
	seen := make(map[endive.TaskID]bool, len(running))
	for _, report := range running {
		seen[report.Task] = true
		r := w.runs[report.Task]
		if r != nil && r.number == report.Run {
			m.stillRuns(r, report)
			continue
		}
		if r == nil {
			m.foundRun(w, report)
		}
	}
	for _, r := range w.sortedRuns() {
		// An answer to this look could not miss a run that was there before.
		if !seen[r.id] && r.settled > 0 && r.settled < w.hold.sentStep {
			m.note(Decision{Kind: DecisionEnd, Task: r.id, Run: r.number, Worker: w.id, Outcome: "absent", Reason: "the worker neither runs it nor lists its end"})
			m.removeRun(r)
			if r.task != nil {
				m.gangBroken(r.task.step, "a member is absent")
			}
		}
	}
}

// stillRuns takes in the figures of a run.
func (m *Machine) stillRuns(r *run, report endive.RunReport) {
	if report.Percent != r.percent {
		r.percent, r.percentAt = report.Percent, m.now
	}
	r.tail = report.Tail
	if r.task != nil && r.state == runRunning {
		m.watchPace(r)
	}
	if r.task != nil && report.Checkpoint != "" {
		r.task.checkpoint = report.Checkpoint
	}
	if r.state == runStarting && !r.inFlight {
		m.confirm(r)
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
