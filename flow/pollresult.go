package flow

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// handlePollResult applies a worker's answer to a poll, or counts a failed poll.
func (m *Machine) handlePollResult(e PollResult) {
	m.endProbe(e.Worker, e.Poll)
	if !e.Overdue {
		delete(m.probes.calls, pollCall{e.Worker, e.Poll})
	}
	w := m.workers[e.Worker]
	if w == nil || e.Poll < m.tenure.firstPoll {
		return
	}
	m.markChanged(w)
	sent, current := w.poll.end(e)
	m.recordLatePoll(w, sent, e.Result)
	answered := e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalNone
	switch {
	case e.Answer.Refused == endive.RefusalEpoch && sent.sentTo < w.incarnations:
		// The poll was sent to an earlier incarnation, and the worker has received a higher epoch since.
	case current && !answered:
		m.handlePollFailure(w, e)
	case current || answered && w.acceptsLateReport(e.Report):
		m.applyPollReport(w, e, sent, current)
	case e.Result == OrderNotSent && w.failedPolls > 0 && m.hasLeft(w, e):
		m.handleTerminated(w, string(e.Result))
	}
}

// end records the result of a poll. It returns the poll, and whether it is the one in flight.
func (p *pollState) end(e PollResult) (sent openPoll, current bool) {
	sent = p.open[e.Poll]
	if !e.Overdue {
		delete(p.open, e.Poll)
	}
	if !p.inFlight || p.id != e.Poll {
		return sent, false
	}
	p.inFlight = false
	return sent, true
}

// applyPollReport applies what a worker reports in its answer to a poll. current is false if the answer
// arrived late.
func (m *Machine) applyPollReport(w *worker, e PollResult, sent openPoll, current bool) {
	if w.failedPolls > 0 {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "answers again", Reason: formatInt(int64(w.failedPolls)) + " failed polls before"})
		w.failedPolls, w.lossRecorded = 0, false
		m.passDue = true
	}
	if startTime := e.Report.StartTime; startTime.UnixMilli() > 0 && startTime.Before(w.info.StartTime) {
		// The answer is from an earlier incarnation, so it doesn't apply to this one.
		w.poll.nextAt = m.now
		return
	} else if startTime.After(w.info.StartTime) {
		m.beginIncarnation(w, startTime)
	}
	if current {
		// Another worker may have refused an order that was sent to a former address of this one.
		w.addressReused = false
	}
	if current && w.poll.immediate {
		w.recordRoundTrip(m.now.Sub(w.poll.sentAt))
	}
	if e.Report.Clock < w.lastReport {
		// A newer answer, to an earlier poll, has overtaken this one.
		w.poll.nextAt = m.now
		return
	}
	w.recordAnswer(m.now, sent.sentAt, e.Report.Clock, !current)
	m.recordFence(w, sent)
	w.forgetLateStarts()
	knownEnd := w.lastEnd
	m.applyEnds(w, e.Report.Ended)
	m.reconcileRuns(w, e.Poll, e.Report, sent)
	recorded := endive.EndNumber(0)
	if current && sent.sentTo == w.incarnations {
		recorded = w.poll.recorded
	}
	m.learn(w, e.Report, w.lastEnd > knownEnd, recorded)
	w.poll.nextAt = m.now
	switch {
	case w.awaitsFence(), e.Report.More && w.lastEnd > knownEnd:
	case w.hasOpenEnds() && len(w.runs) > 0:
		w.poll.nextAt = m.now.Add(unrecordedPollInterval)
	case w.hasOpenEnds(), len(w.runs) == 0 && w.firstListedEnd > 0:
		w.poll.nextAt = m.now.Add(time.Duration(pollWait))
	case len(w.runs) == 0 && w.recordedEnd() == w.lastEnd:
		w.poll.nextAt = m.now.Add(m.idlePollInterval())
	}
	m.checkLatency(w)
	m.checkProgress(w)
	m.updateIsolation(w)
	m.clearPending(w)
}

// applyEnds processes the ends of runs that a worker lists and that are new. The capacity of
// each ended run is free from now on.
func (m *Machine) applyEnds(w *worker, ends []endive.EndReport) {
	sort.Slice(ends, func(i, j int) bool { return ends[i].Number < ends[j].Number })
	w.firstListedEnd = 0
	if len(ends) > 0 {
		w.firstListedEnd = ends[0].Number
	}
	for _, end := range ends {
		if end.Number <= w.lastEnd {
			continue
		}
		w.lastEnd = end.Number
		if m.mayBeUnread(end.Task) && !w.hasKnownRun(end) {
			m.keepUnreadEnd(w, end)
		} else {
			m.applyEnd(w, end)
		}
	}
}

func (m *Machine) applyEnd(w *worker, end endive.EndReport) {
	t := m.reportedTask(end.Task)
	r := w.findRun(end.Task, end.Run)
	current := r != nil
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
	m.removePending(t, end.Run)
	j := t.step.occ.job
	m.logDecision(Decision{Kind: DecisionEnd, Job: j.id, Task: t.id, Run: end.Run, Worker: w.id, Outcome: string(end.Kind), Reason: m.endReason(r, current)})
	switch end.Kind {
	case endive.EndSucceeded:
		// A success counts also if the run was given up before: the worker was only silent.
		// Otherwise work that has been done would be done again.
		if !t.step.spec.LongRunning {
			if current && r.firstPercent == 0 {
				t.step.timedRuns = append(t.step.timedRuns, endive.TimedRun{Worker: w.info, Duration: endive.Interval(m.now.Sub(r.startedAt))})
			}
			m.markSucceeded(t)
			m.queueEnd(w, end.Number, j)
		}
		w.health.recordSuccess()
	case endive.EndFailed:
		m.recordTaskFailure(t, end, w)
		if !t.step.spec.LongRunning {
			m.queueEnd(w, end.Number, j)
		}
	case endive.EndGangIncomplete, endive.EndGangBroken, endive.EndLeaseExpired, endive.EndStopped:
	}
	if current {
		m.delayRestart(r, end.Kind)
		m.removeRun(r)
	}
	if t.state >= taskSucceeded && t.run != nil {
		m.stopRun(t.run, "an earlier run of the task has succeeded")
	}
	if end.Kind != endive.EndSucceeded {
		m.abortGang(t.step, "a member of the gang ended: "+string(end.Kind))
	}
}

func (m *Machine) endReason(r *run, current bool) string {
	if !current {
		return "the run was not tracked"
	}
	return "after " + m.now.Sub(r.startedAt).Round(time.Millisecond).String()
}

// markSucceeded marks a task as succeeded. If the task is in a gang, it marks all members.
func (m *Machine) markSucceeded(t *task) {
	unfinishedBefore := t.step.unfinished
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, member := range members {
		if member.state == taskWaiting {
			member.step.waiting--
		}
		if member.state < taskSucceeded {
			member.state = taskSucceeded
			member.step.unfinished--
			member.step.occ.job.unfinished--
		}
	}
	t.step.gang.run = 0
	if unfinishedBefore > 0 && t.step.unfinished == 0 {
		m.recordStepTimes(t.step)
	}
	m.passDue = true
	m.finishIfDone(t.step.occ.job)
}

// finishIfDone ends a job successfully once all of its tasks have succeeded, also those of occurrences that
// aren't due by this holder's clock.
func (m *Machine) finishIfDone(j *job) {
	if j.state.Ended() || len(j.occurrences) < j.spec.Schedule.Count() || j.unfinished > 0 {
		return
	}
	m.finishJob(j, endive.WorkflowSucceeded, Decision{Evidence: EvidenceReported, Reason: "all tasks have succeeded"})
}

// recordTaskFailure counts the failure of a run against the attempts of its task. A failure that
// is reported again isn't counted.
func (m *Machine) recordTaskFailure(t *task, end endive.EndReport, w *worker) {
	m.recordRunFailure(w)
	if t.state >= taskSucceeded {
		return
	}
	t.avoidWorker = w.id
	j := t.step.occ.job
	if t.step.spec.LongRunning || slices.Contains(t.failedRuns, end.Run) {
		return
	}
	t.failedRuns = append(t.failedRuns, end.Run)
	failures := len(t.failedRuns)
	if t.step.spec.Gang {
		if !slices.Contains(t.step.gang.failedRuns, end.Run) {
			t.step.gang.failedRuns = append(t.step.gang.failedRuns, end.Run)
		}
		failures = len(t.step.gang.failedRuns)
	}
	m.markDirty(j, rowUrgent)
	if failures >= j.policy.MaxAttempts {
		m.finishJob(j, endive.WorkflowFailed, Decision{
			Task: t.id, Run: end.Run, Worker: w.id, Evidence: EvidenceReported, Reason: "task " + string(t.id) + " failed " + formatInt(int64(failures)) + " times",
		})
	}
}
