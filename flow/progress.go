package flow

import (
	"encoding/json"
	"strings"

	"endiveroute.example/endive"
)

// restore creates an occurrence from its recorded progress.
func (m *Machine) restore(j *job, progress OccurrenceProgress) {
	if progress.Number < 0 || progress.Number >= j.spec.Schedule.Count() || j.occurrences[progress.Number] != nil {
		return
	}
	occ := m.addOccurrence(j, progress.Number)
	for i, s := range occ.steps {
		if i < len(progress.Steps) {
			s.restore(progress.Steps[i])
		}
	}
	m.countUnfinishedSteps(occ)
}

// restore applies the recorded progress of a step.
func (s *step) restore(progress StepProgress) {
	for i, t := range s.tasks {
		if progress.All || i < len(progress.Succeeded) && progress.Succeeded[i] == '1' {
			t.state = taskRecorded
			s.unrecorded--
			s.unfinished--
			s.waiting--
		}
	}
	for _, taskProgress := range progress.Tasks {
		if taskProgress.Index >= 0 && taskProgress.Index < len(s.tasks) {
			t := s.tasks[taskProgress.Index]
			t.failedRuns, t.checkpoint = taskProgress.Failed, taskProgress.Checkpoint
			t.restoreCrashes(taskProgress)
		}
	}
	s.gang.failedRuns = progress.GangFailed
}

// countUnfinishedSteps updates the number of steps of an occurrence whose success isn't fully
// recorded.
func (m *Machine) countUnfinishedSteps(occ *occurrence) {
	unfinished := 0
	for _, s := range occ.steps {
		if s.unrecorded > 0 {
			unfinished++
		}
	}
	if occ.unfinishedSteps > 0 && unfinished == 0 {
		occ.job.finishedOccurrences++
	}
	occ.unfinishedSteps = unfinished
}

// decodeProgress decodes a state row.
func (m *Machine) decodeProgress(row endive.Row) (endive.JobID, Progress, bool) {
	id, ok := strings.CutPrefix(row.Key, StatePrefix(m.pool))
	if !ok || row.Deleted {
		return "", Progress{}, false
	}
	var progress Progress
	if err := json.Unmarshal(row.Value, &progress); err != nil {
		m.logDecision(Decision{Kind: DecisionJob, Job: endive.JobID(id), Outcome: "progress skipped", Reason: err.Error()})
		return "", Progress{}, false
	}
	return endive.JobID(id), progress, true
}

// progress returns a job's progress to be recorded.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Account: j.account}
	if p.State.Ended() {
		return p
	}
	for _, occ := range j.sortedOccurrences() {
		occurrenceProgress := OccurrenceProgress{Number: occ.number}
		hasProgress := false
		for _, s := range occ.steps {
			stepProgress := s.progress()
			hasProgress = hasProgress || stepProgress.All || stepProgress.Succeeded != "" || len(stepProgress.Tasks) > 0 || len(stepProgress.GangFailed) > 0
			occurrenceProgress.Steps = append(occurrenceProgress.Steps, stepProgress)
		}
		if hasProgress {
			p.Occurrences = append(p.Occurrences, occurrenceProgress)
		}
	}
	return p
}

func (s *step) progress() StepProgress {
	p := StepProgress{GangFailed: s.gang.failedRuns}
	succeeded := make([]byte, len(s.tasks))
	count := 0
	for i, t := range s.tasks {
		succeeded[i] = '0'
		if t.state >= taskSucceeded {
			succeeded[i] = '1'
			count++
			continue
		}
		if taskProgress := t.progress(); !taskProgress.empty() {
			p.Tasks = append(p.Tasks, taskProgress)
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

// progress returns a task's progress to be recorded.
func (t *task) progress() TaskProgress {
	p := TaskProgress{
		Index: t.index, Failed: t.failedRuns, Checkpoint: t.checkpoint, Crashed: t.crashes.runs, CrashedIsolated: t.crashes.isolated,
		CrashedLate: t.crashes.late,
	}
	if pending := t.crashes.pending; pending.number > 0 {
		p.PendingRun, p.PendingShared, p.PendingWorker, p.PendingWorkerStart = pending.number, !pending.isolated, pending.worker, pending.workerStart
	}
	return p
}
