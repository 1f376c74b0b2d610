package flow

import (
	"encoding/json"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// takeRows takes in all rows of the table of work, with what is recorded of their
// workflows.
func (m *Machine) takeRows(rows []endive.Row, progress map[endive.JobID]Progress) {
	for _, row := range rows {
		kind, name := workRow(m.pool, row.Key)
		if kind != kindJob || row.Deleted {
			continue
		}
		id := endive.JobID(name)
		done, known := progress[id]
		if known && done.State.Ended() {
			m.noteEnded(id, done.State)
			continue
		}
		m.addJob(id, row.Value, done, true)
		if j := m.jobs[id]; j != nil && known {
			j.recorded = encode(done)
		}
	}
	m.workChanged(rows)
}

// workChanged takes in new rows of the table of work.
func (m *Machine) workChanged(rows []endive.Row) {
	// Rows come in the order of their keys; what is said of a workflow makes sense
	// only after the workflow itself.
	for _, row := range rows {
		kind, name := workRow(m.pool, row.Key)
		id := endive.JobID(name)
		if kind == kindJob && !row.Deleted && m.tenure.loaded && m.jobs[id] == nil && !m.endings.known[id] {
			m.addJob(id, row.Value, Progress{}, m.now.Before(m.tenure.lastUntil))
		}
	}
	for _, row := range rows {
		kind, name := workRow(m.pool, row.Key)
		if row.Deleted {
			continue
		}
		if kind == kindCancel {
			m.cancel(endive.JobID(name))
		}
	}
}

// addJob takes in a submission, with what is recorded of it.
func (m *Machine) addJob(id endive.JobID, value []byte, done Progress, inherited bool) {
	var s endive.Submission
	if err := json.Unmarshal(value, &s); err != nil {
		m.note(Decision{Kind: DecisionJob, Job: id, Outcome: "skipped", Reason: "its row can't be read: " + err.Error()})
		return
	}
	s.Workflow.ID = id
	var findings endive.Findings
	s.Workflow.Validate(&findings)
	if err := findings.Err(); err != nil {
		m.note(Decision{Kind: DecisionJob, Job: id, Outcome: "skipped", Reason: "its row makes no sense: " + err.Error()})
		return
	}
	j := m.newJob(s)
	j.inherited = inherited
	j.submitted = value
	defer m.tell(j)
	m.jobs[id] = j
	if j.spec.Schedule.Occurrences > 0 {
		m.scheduled[id] = j
	}
	if done.State != "" {
		j.state = done.State
		j.begun = done.State != endive.WorkflowQueued
	}
	for _, one := range done.Occurrences {
		m.restore(j, one)
	}
	if j.spec.Schedule.Occurrences == 0 && j.occs[0] == nil {
		m.addOccurrence(j, 0)
	}
	if j.spec.Schedule.Occurrences == 0 {
		j.nextOcc = 1
	}
	m.takeEarly(j)
	if !inherited && s.Advised {
		m.awaitAdvice(j)
	}
	m.passDue = true
	m.note(Decision{Kind: DecisionJob, Job: id, Outcome: "taken up", Reason: "queue " + string(j.policy.Name) +
		", accepted " + m.now.Sub(j.accepted).Round(time.Millisecond).String() + " ago"})
}

// tell says what callers may be told of a job that hasn't ended.
func (m *Machine) tell(j *job) {
	if !j.state.Ended() {
		m.emit(PublishState{Job: j.id, State: j.state})
	}
}

// restore makes an occurrence from what is recorded of it.
func (m *Machine) restore(j *job, done OccurrenceProgress) {
	if done.Number < 0 || done.Number >= j.spec.Schedule.Count() || j.occs[done.Number] != nil {
		return
	}
	occ := m.addOccurrence(j, done.Number)
	for i, s := range occ.steps {
		if i < len(done.Steps) {
			s.restore(done.Steps[i])
		}
	}
	m.closeSteps(occ)
}

// restore takes over the recorded progress of a step.
func (s *step) restore(done StepProgress) {
	for i, t := range s.tasks {
		if done.All || i < len(done.Succeeded) && done.Succeeded[i] == '1' {
			t.state = taskRecorded
			s.left--
			s.unended--
			s.waiting--
		}
	}
	for _, one := range done.Tasks {
		if one.Index >= 0 && one.Index < len(s.tasks) {
			t := s.tasks[one.Index]
			t.failed, t.checkpoint = one.Failed, one.Checkpoint
		}
	}
	s.gang.failed = done.GangFailed
}

// closeSteps counts the steps of an occurrence that have succeeded.
func (m *Machine) closeSteps(occ *occurrence) {
	left := 0
	for _, s := range occ.steps {
		if s.left > 0 {
			left++
		}
	}
	if occ.left > 0 && left == 0 {
		occ.job.finished++
	}
	occ.left = left
}

// readProgress reads a state row.
func (m *Machine) readProgress(row endive.Row) (endive.JobID, Progress, bool) {
	id, ok := strings.CutPrefix(row.Key, StatePrefix(m.pool))
	if !ok || row.Deleted {
		return "", Progress{}, false
	}
	var read Progress
	if err := json.Unmarshal(row.Value, &read); err != nil {
		m.note(Decision{Kind: DecisionJob, Job: endive.JobID(id), Outcome: "progress skipped", Reason: err.Error()})
		return "", Progress{}, false
	}
	return endive.JobID(id), read, true
}

// progress returns what is to be recorded of a job.
func (j *job) progress() Progress {
	p := Progress{State: j.state}
	if p.State.Ended() {
		return p
	}
	for _, occ := range j.sortedOccs() {
		one := OccurrenceProgress{Number: occ.number}
		worth := false
		for _, s := range occ.steps {
			done := s.progress()
			worth = worth || done.All || done.Succeeded != "" || len(done.Tasks) > 0 || len(done.GangFailed) > 0
			one.Steps = append(one.Steps, done)
		}
		if worth {
			p.Occurrences = append(p.Occurrences, one)
		}
	}
	return p
}

func (s *step) progress() StepProgress {
	p := StepProgress{GangFailed: s.gang.failed}
	succeeded := make([]byte, len(s.tasks))
	count := 0
	for i, t := range s.tasks {
		succeeded[i] = '0'
		if t.state >= taskSucceeded {
			succeeded[i] = '1'
			count++
			continue
		}
		if len(t.failed) > 0 || t.checkpoint != "" {
			p.Tasks = append(p.Tasks, TaskProgress{Index: i, Failed: t.failed, Checkpoint: t.checkpoint})
		}
	}
	switch count {
	case 0:
	case len(s.tasks):
		p.All = true
	default:
		p.Succeeded = string(succeeded)
	}
	return p
}

// finish gives a job its final state and stops what still runs of it.
func (m *Machine) finish(j *job, state endive.WorkflowState, reason string) {
	if j.state.Ended() {
		return
	}
	m.emit(PublishState{Job: j.id, State: j.state, EndPending: true})
	j.state = state
	m.touch(j, rowUrgent)
	m.note(Decision{Kind: DecisionJob, Job: j.id, Outcome: string(state), Reason: reason +
		", " + m.now.Sub(j.accepted).Round(time.Millisecond).String() + " after its acceptance"})
	for _, r := range j.runs() {
		if state != endive.WorkflowSucceeded {
			m.stopRun(r, string(state))
		}
	}
}

// cancel ends a workflow on its caller's request.
func (m *Machine) cancel(id endive.JobID) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	j.cancelled = true
	if j.state.Ended() {
		return
	}
	m.finish(j, endive.WorkflowCancelled, "cancelled by its caller")
}

// release forgets a job whose end is recorded and of which nothing runs.
func (m *Machine) release(j *job) {
	if m.jobs[j.id] != j || !j.state.Ended() || j.row != rowCurrent || len(j.runs()) > 0 {
		return
	}
	for _, occ := range j.sortedOccs() {
		m.dropOccurrence(occ)
	}
	delete(m.jobs, j.id)
	delete(m.scheduled, j.id)
	m.noteEnded(j.id, j.state)
}
