package flow

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// restoreFinished creates the occurrences that are recorded as finished.
func (m *Machine) restoreFinished(j *job, numbers []int) {
	for _, number := range numbers {
		steps := make([]StepProgress, len(j.spec.Steps))
		for i := range steps {
			steps[i].All = true
		}
		m.restore(j, OccurrenceProgress{Number: number, Steps: steps})
	}
}

// restore creates an occurrence from its recorded progress.
func (m *Machine) restore(j *job, progress OccurrenceProgress) {
	if progress.Number < 0 || progress.Number >= j.spec.Schedule.Count() || j.occurrences[progress.Number] != nil {
		return
	}
	occ := m.addOccurrence(j, progress.Number)
	for i, s := range occ.steps {
		if i < len(progress.Steps) {
			s.restore(progress.Steps[i])
			m.restoreUnproven(s)
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
			s.occ.job.unfinished--
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
		occ.job.deactivate(occ)
	}
	occ.unfinishedSteps = unfinished
}

// decodeProgress decodes a state row, and reports whether the row is one.
func (m *Machine) decodeProgress(row endive.Row) (endive.JobID, storedProgress, bool) {
	id, ok := strings.CutPrefix(row.Key, StatePrefix(m.pool))
	if !ok || row.Deleted {
		return "", storedProgress{}, false
	}
	progress := storedProgress{value: row.Value}
	progress.unreadable = json.Unmarshal(row.Value, &progress.Progress)
	return endive.JobID(id), progress, true
}

// encodeProgress returns the value of the job's row. A row that would be larger than maxRowBytes names the
// finished occurrences as a set of bits, which earlier builds can't read. If that isn't enough it leaves out the
// workers of unproven crashes, so that these stay unproven after a takeover. If that isn't enough either it is compressed.
func (j *job) encodeProgress() []byte {
	progress := j.progress()
	value := encodeRow(progress)
	if len(value) <= maxRowBytes {
		return value
	}
	progress.packFinished()
	if value = encodeRow(progress); len(value) <= maxRowBytes {
		return value
	}
	progress.dropFromTasks(dropUnprovenWorkers)
	if value = encodeRow(progress); len(value) <= maxRowBytes {
		return value
	}
	whole := j.progress()
	whole.packFinished()
	if value = whole.encodePacked(); len(value) <= maxRowBytes {
		return value
	}
	return progress.encodeCut()
}

// encodeCut returns the value of a row that is too large even if it is compressed. It leaves out what matters least: first
// the checkpoints, so that tasks begin anew after a takeover, then the crashes that hardly count against their tasks.
func (p Progress) encodeCut() []byte {
	var value []byte
	for _, drop := range []func(t *TaskProgress){func(*TaskProgress) {}, dropCheckpoint, dropWeakCrashes} {
		p.dropFromTasks(drop)
		if value = p.encodePacked(); len(value) <= maxRowBytes {
			break
		}
	}
	return value
}

// dropUnprovenWorkers removes what identifies the workers of unproven crashes.
func dropUnprovenWorkers(t *TaskProgress) {
	t.CrashedUnproven, t.PendingAddress, t.PendingMachine = nil, "", ""
}

// dropCheckpoint removes the checkpoint of a task.
func dropCheckpoint(t *TaskProgress) { t.Checkpoint = "" }

// dropWeakCrashes removes the late crashes, and the run that may turn out to have crashed its worker.
func dropWeakCrashes(t *TaskProgress) {
	t.CrashedLate, t.CrashedEarlier, t.ProofDeadline = nil, nil, 0
	t.PendingRun, t.PendingShared, t.PendingWorker, t.PendingWorkerStart, t.PendingLeaseEnd = 0, false, "", 0, 0
}

// packFinished moves the occurrences whose tasks have all succeeded to FinishedBits.
func (p *Progress) packFinished() {
	var unfinished []OccurrenceProgress
	for _, occ := range p.Occurrences {
		if !occ.finished() {
			unfinished = append(unfinished, occ)
			continue
		}
		for len(p.FinishedBits) <= occ.Number/8 {
			p.FinishedBits = append(p.FinishedBits, 0)
		}
		p.FinishedBits[occ.Number/8] |= 1 << (occ.Number % 8)
	}
	p.Occurrences = unfinished
}

// dropFromTasks removes details of all tasks, and the tasks of which nothing remains.
func (p *Progress) dropFromTasks(drop func(t *TaskProgress)) {
	for _, occ := range p.Occurrences {
		for i := range occ.Steps {
			kept := occ.Steps[i].Tasks[:0]
			for _, t := range occ.Steps[i].Tasks {
				drop(&t)
				if !t.empty() {
					kept = append(kept, t)
				}
			}
			occ.Steps[i].Tasks = kept
		}
	}
}

// finished reports whether all tasks of the occurrence have succeeded.
func (p OccurrenceProgress) finished() bool {
	return !slices.ContainsFunc(p.Steps, func(s StepProgress) bool { return !s.All })
}

// finishedNumbers returns the numbers of the occurrences in FinishedBits.
func (p Progress) finishedNumbers() []int {
	var numbers []int
	for i := range len(p.FinishedBits) * 8 {
		if p.FinishedBits[i/8]&(1<<(i%8)) != 0 {
			numbers = append(numbers, i)
		}
	}
	return numbers
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
		CrashedLate: t.crashes.late, CrashedEarlier: t.crashes.outlived, CrashedProven: t.crashes.proven,
		ProofDeadline: t.crashes.recordedDeadline,
	}
	for _, run := range t.crashes.unproven {
		p.CrashedUnproven = append(p.CrashedUnproven, UnprovenCrash{
			Run: run.number, Worker: run.worker, WorkerStart: run.workerStart, LeaseEnd: toUnixMillis(run.leaseEnd), Address: run.address, Machine: run.machine,
		})
	}
	if pending := t.crashes.pending; pending.number > 0 {
		p.PendingRun, p.PendingShared, p.PendingWorker, p.PendingWorkerStart = pending.number, !pending.isolated, pending.worker, pending.workerStart
		p.PendingLeaseEnd, p.PendingAddress, p.PendingMachine = toUnixMillis(pending.leaseEnd), pending.address, pending.machine
	}
	return p
}

// unixMillis returns a time that is recorded in milliseconds of Unix time; zero if none is.
func unixMillis(recorded int64) time.Time {
	if recorded == 0 {
		return time.Time{}
	}
	return time.UnixMilli(recorded)
}

// toUnixMillis returns a time as it is recorded; 0 for none.
func toUnixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
