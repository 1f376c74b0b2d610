package place

import (
	"slices"

	"endiveroute.example/endive"
)

// handleCommandResult handles the result of a worker's command. Results of
// other commands than the one in flight are ignored.
func (m *Machine) handleCommandResult(e CommandResult) {
	w := m.workers.byID[e.Worker]
	if !m.active || w == nil || w.pending == nil || e.Epoch != m.lease.Epoch || e.Sequence != w.pending.sequence {
		return
	}
	m.workers.markCommandDue(w)
	switch {
	case e.Unavailable:
		starts := w.pending.starts
		m.markUnresponsive(w)
		m.requeueStarts(w, starts)
	case !e.Unknown && e.Report.Refused == "":
		m.handleReport(w, e.Report)
	case !e.Unknown && e.Report.Epoch > m.lease.Epoch:
		w.pending, w.responsive, w.superseded = nil, false, true
		m.logDecision(endive.DecisionLease, string(m.slice.ID), "superseded", string(w.id)+" has seen a newer holder")
	default:
		// A refusal may answer a duplicate of a command that was executed before, so it
		// doesn't mean that the tasks weren't started.
		m.markUnresponsive(w)
	}
}

// markUnresponsive stops waiting for the command's answer. The worker has to
// answer a probe before new tasks are sent to it.
func (m *Machine) markUnresponsive(w *worker) {
	f := w.pending
	w.pending, w.responsive = nil, false
	w.forgets = append(f.forgets, w.forgets...)
	for _, a := range f.stops {
		if w.byID[a.id] == a {
			a.stopSent = false
			w.stops = append(w.stops, a)
		}
	}
	m.workers.markCommandDue(w)
}

// handleReport handles a worker's report, which lists all attempts on the
// worker.
func (m *Machine) handleReport(w *worker, report endive.WorkerReport) {
	sequence := w.pending.sequence
	wasUnresponsive := !w.responsive
	if !w.answered {
		w.leasesEnd = m.leaseEnd(m.now)
	}
	w.pending, w.responsive, w.answered = nil, true, true
	w.renewUntil = m.now.Add(silenceTimeout)
	if report.Leaving && w.state == endive.MemberLive {
		w.state = endive.MemberLeaving
	}
	if report.Size != (endive.Resources{}) {
		w.resize(report.Size)
	}
	for _, r := range report.Tasks {
		m.handleTaskReport(w, r, sequence)
	}
	for _, a := range append([]*attempt(nil), w.attempts...) {
		if a.state >= attemptSent && a.reportedSequence != sequence {
			m.endAttempt(a, endive.TaskReport{State: taskLost, Reason: "the worker doesn't report the attempt"})
		}
	}
	for id, seen := range w.reportedEnds {
		if seen != sequence {
			delete(w.reportedEnds, id)
		}
	}
	if !w.inRoster && m.loader.loaded {
		m.recordRoster()
	}
	if wasUnresponsive {
		m.preemptibleVersion++
		m.capacityFreed(w)
	}
}

// handleTaskReport handles the report of one attempt.
func (m *Machine) handleTaskReport(w *worker, r endive.TaskReport, sequence uint64) {
	if _, ok := w.reportedEnds[r.Attempt]; ok && r.State != endive.TaskRunning {
		w.reportedEnds[r.Attempt] = sequence
		return
	}
	if r.State != endive.TaskRunning {
		w.reportedEnds[r.Attempt] = sequence
	}
	a := w.byID[r.Attempt]
	switch {
	case a == nil && r.State == endive.TaskRunning:
		a = &attempt{id: r.Attempt, task: r.Task, need: r.Need, state: attemptRunning, startedAt: m.now, reportedSequence: sequence}
		w.addAttempt(a)
		if m.loader.loaded {
			m.adoptAttempt(a)
		}
	case a == nil && m.loader.loaded:
		m.handleUnknownEnd(w, r)
	case a == nil:
		w.earlyEnds = append(w.earlyEnds, r)
	case r.State == endive.TaskRunning:
		a.reportedSequence = sequence
		if a.state < attemptRunning {
			a.state = attemptRunning
		}
	default:
		a.reportedSequence = sequence
		m.endAttempt(a, r)
	}
}

// handleUnknownEnd handles the reported end of an attempt that the holder
// doesn't track: the previous holder started the attempt, or the attempt was
// already considered lost.
func (m *Machine) handleUnknownEnd(w *worker, r endive.TaskReport) {
	id, index := parseTask(r.Task)
	j := m.jobs[id]
	if j == nil || j.ended || index < 0 || !j.startable(index) || slices.Contains(j.failedAttempts[index], r.Attempt) {
		m.forgetAttempt(w, r.Attempt)
		return
	}
	a := &attempt{id: r.Attempt, task: r.Task, job: j, index: index, startedAt: m.now, state: attemptRunning}
	w.addAttempt(a)
	j.addAttempt(a)
	m.endAttempt(a, r)
}

// forgetAttempt has the worker forget an ended attempt for which nothing has to
// be recorded.
func (m *Machine) forgetAttempt(w *worker, id endive.AttemptID) {
	w.forgets = append(w.forgets, id)
	m.workers.markCommandDue(w)
}
