package flow

import (
	"encoding/json"
	"time"

	"endiveroute.example/endive"
)

// storedProgress is a workflow's recorded progress with the value of its row. A hand-over passes on
// the value, which may have fields of a later build.
type storedProgress struct {
	Progress
	value []byte
	// unreadable is why the row can't be decoded; nil if it can.
	unreadable error
}

// applySnapshotRows creates the jobs from all rows of the table of work and the recorded
// progress of their workflows.
func (m *Machine) applySnapshotRows(rows []endive.Row, progress map[endive.JobID]storedProgress) {
	for _, row := range rows {
		kind, name := workRow(m.pool, row.Key)
		if kind != kindJob || row.Deleted {
			continue
		}
		id := endive.JobID(name)
		recorded, known := progress[id]
		if recorded.unreadable != nil {
			m.skipJob(id, row.Value, recorded.value, "its progress can't be decoded: "+recorded.unreadable.Error())
			continue
		}
		if known && recorded.State.Ended() {
			if recorded.Account == "" {
				recorded.Account = submissionAccount(row.Value)
			}
			m.addEndedJob(id, recorded.Progress)
			continue
		}
		m.addJob(id, row.Value, recorded.Progress, true)
		if !known {
			continue
		}
		if j := m.jobs[id]; j != nil {
			j.stateValue = recorded.value
		} else if skipped := m.skipped[id]; skipped != nil {
			skipped.state = recorded.value
		}
	}
	m.applyWorkRows(rows)
}

// submissionAccount returns the account of a submission; empty if it has none or isn't included in
// a hand-over. A holder of a build without accounts records ends without it.
func submissionAccount(value []byte) endive.AccountName {
	var s endive.Submission
	if len(value) == 0 || json.Unmarshal(value, &s) != nil {
		return ""
	}
	return s.Account
}

// applyWorkRows applies new rows of the table of work.
func (m *Machine) applyWorkRows(rows []endive.Row) {
	// Rows come in the order of their keys, so a cancellation may come before its submission:
	// the submissions are applied first.
	for _, row := range rows {
		kind, name := workRow(m.pool, row.Key)
		id := endive.JobID(name)
		if kind == kindJob && !row.Deleted && m.tenure.loaded && m.jobs[id] == nil && m.skipped[id] == nil && !m.endedJobs.knownIDs[id] {
			m.addJob(id, row.Value, Progress{}, m.hasUnreadReports(id))
		}
	}
	for _, row := range rows {
		kind, name := workRow(m.pool, row.Key)
		if row.Deleted {
			continue
		}
		if kind == kindCancel {
			m.cancelJob(endive.JobID(name))
		}
	}
}

// addJob creates a job from its submission and its recorded progress. inherited is true if an earlier holder may have
// started it.
func (m *Machine) addJob(id endive.JobID, value []byte, recorded Progress, inherited bool) {
	var s endive.Submission
	if err := json.Unmarshal(value, &s); err != nil {
		m.skipJob(id, value, nil, "its row can't be decoded: "+err.Error())
		return
	}
	s.Workflow.ID = id
	var findings endive.Findings
	s.Workflow.Validate(&findings)
	if err := findings.Err(); err != nil {
		m.skipJob(id, value, nil, "its workflow is invalid: "+err.Error())
		return
	}
	j := m.newJob(s)
	// The feed may deliver it only after the lease of the holder that could start it has expired, or to a holder after the
	// next one.
	inherited = inherited || j.accepted.Before(endive.Latest(m.tenure.beganAt, m.tenure.previousLeaseEnd))
	j.inherited = inherited
	if account, ok := m.accounts.Named(j.account); ok && !inherited {
		j.beyondShare = m.order.BeyondShare(account, j.accepted)
	}
	j.submissionValue = value
	defer m.publishState(j)
	m.jobs[id] = j
	if j.spec.Schedule.Occurrences > 0 {
		m.scheduled[id] = j
	}
	if recorded.State != "" {
		j.state = recorded.State
		j.started = recorded.State != endive.WorkflowQueued
	}
	m.restoreFinished(j, recorded.finishedNumbers())
	for _, progress := range recorded.Occurrences {
		m.restore(j, progress)
	}
	if j.spec.Schedule.Occurrences == 0 && j.occurrences[0] == nil {
		m.addOccurrence(j, 0)
	}
	if j.spec.Schedule.Occurrences == 0 {
		j.nextOccurrence = 1
	}
	m.applyUnreadReports(j)
	// An earlier build doesn't end a job whose last occurrence ends before it is due by the holder's clock.
	m.finishIfDone(j)
	m.applyEarlyAdvice(j)
	if !inherited && s.Advised {
		m.awaitForwardedAdvice(j)
	}
	m.passDue = true
	m.logDecision(Decision{Kind: DecisionJob, Job: id, Outcome: "taken up", Reason: "queue " + string(j.policy.Name) +
		", accepted " + m.now.Sub(j.accepted).Round(time.Millisecond).String() + " ago"})
	if m.earlyCancels[id] {
		delete(m.earlyCancels, id)
		m.cancelJob(id)
	}
}

// publishState publishes the state of a job that hasn't ended.
func (m *Machine) publishState(j *job) {
	if !j.state.Ended() {
		m.emit(PublishState{Job: j.id, Account: j.account, State: j.state})
	}
}

// finishJob gives a job its final state and, unless it has succeeded, stops its runs. The decision has the task
// and the evidence that the state rests on.
func (m *Machine) finishJob(j *job, state endive.WorkflowState, d Decision) {
	if j.state.Ended() {
		return
	}
	m.emit(PublishState{Job: j.id, Account: j.account, State: j.state, EndPending: true})
	j.state = state
	m.markDirty(j, rowUrgent)
	d.Kind, d.Job, d.Outcome = DecisionJob, j.id, string(state)
	d.Reason += ", " + m.now.Sub(j.accepted).Round(time.Millisecond).String() + " after it was accepted"
	m.logDecision(d)
	for _, r := range j.runs() {
		if state != endive.WorkflowSucceeded {
			m.stopRun(r, string(state))
		}
	}
}

// cancelJob ends a workflow at its client's request.
func (m *Machine) cancelJob(id endive.JobID) {
	if skipped := m.skipped[id]; skipped != nil {
		skipped.cancelled = true
		return
	}
	j := m.jobs[id]
	if j == nil {
		m.keepEarlyCancel(id)
		return
	}
	j.cancelled = true
	if j.state.Ended() {
		return
	}
	m.finishJob(j, endive.WorkflowCancelled, Decision{Evidence: EvidenceClient, Reason: "cancelled by its client"})
}

// maxEarlyCancels limits the cancellations that are kept for unknown workflows.
const maxEarlyCancels = 65536

// keepEarlyCancel keeps the cancellation of a workflow whose submission hasn't arrived yet. It may be
// written seconds later, after an answer of the store was lost, or by an entry of an earlier build. After
// the feed has lost its history, submissions come from a scan that may have read them before their
// cancellation was written, while the feed delivers the cancellation first. The rows of the cancellation
// are deleted after the retention period.
func (m *Machine) keepEarlyCancel(id endive.JobID) {
	if m.endedJobs.knownIDs[id] || m.earlyCancels[id] {
		return
	}
	if len(m.earlyCancels) >= maxEarlyCancels {
		clear(m.earlyCancels)
	}
	m.earlyCancels[id] = true
	m.endedJobs.revoked = append(m.endedJobs.revoked, endedJob{id: id, dueAt: m.now.Add(time.Duration(m.settings.Retention))})
}

// removeIfEnded removes a job whose end is recorded and that has no runs.
func (m *Machine) removeIfEnded(j *job) {
	if m.jobs[j.id] != j || !j.state.Ended() || j.rowStatus != rowCurrent || len(j.runs()) > 0 {
		return
	}
	for _, occ := range j.sortedOccurrences() {
		m.dropOccurrence(occ)
	}
	delete(m.jobs, j.id)
	delete(m.scheduled, j.id)
	m.addEndedJob(j.id, Progress{State: j.state, Account: j.account})
}
