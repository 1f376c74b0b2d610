package place

import (
	"fmt"

	"endiveroute.example/endive"
)

// endAttempt notes that an attempt has certainly ended: the worker said so, or its
// lease has run out.
func (m *Machine) endAttempt(a *attempt, r endive.TaskReport) {
	w, j := a.worker, a.job
	if w.byID[a.id] != a {
		return
	}
	w.removeAttempt(a)
	m.capacityFreed(w)
	if j == nil {
		if r.State != taskLost {
			m.forgetAttempt(w, a.id)
		}
		return
	}
	m.changeUsage(j.team, endive.Resources{}.Sub(a.need))
	j.removeAttempt(a)
	delete(j.recordedStarts, a.index)
	if r.State != taskLost {
		j.forgets = append(j.forgets, forget{worker: w.id, attempt: a.id})
	}
	if !j.ended {
		m.applyOutcome(a, r)
		m.updateHealth(w, j, r.State)
		m.endJobIfDone(j)
		m.enqueue(j)
	}
	if r.State != taskLost || j.NonIdempotent || len(j.failed) > 0 {
		m.recordJob(j)
	}
}

// applyOutcome decides what becomes of the task whose attempt has ended.
func (m *Machine) applyOutcome(a *attempt, r endive.TaskReport) {
	j, index := a.job, a.index
	switch {
	case r.State == endive.TaskSucceeded && j.Kind == endive.KindWatcher:
		m.retryLater(j, index, 1)
	case r.State == endive.TaskSucceeded:
		j.markSucceeded(index)
		delete(j.failures, index)
		delete(j.checkpointed, index)
		m.history.recordSuccess(j.Name, m.now.Sub(a.startedAt))
	case r.State == endive.TaskFailed:
		j.lastReason = fmt.Sprintf("task %d failed on %s: %s", index, a.worker.id, r.Reason)
		m.handleTaskFailure(j, index)
	case r.State == taskLost:
		j.lastReason = fmt.Sprintf("task %d was lost with %s: %s", index, a.worker.id, r.Reason)
		m.handleTaskLoss(j, index)
	case j.NonIdempotent && a.stopReason != stopCancel:
		j.lastReason = fmt.Sprintf("task %d was stopped on %s and gets no second attempt", index, a.worker.id)
		j.markEnded(index, endive.JobFailed)
	default:
		if r.State == endive.TaskCheckpointed {
			j.markCheckpointed(index)
		}
		j.requeued = append(j.requeued, index)
	}
	if r.State != endive.TaskSucceeded {
		m.restartGang(j)
	}
	m.finishGangRestart(j)
}

// handleTaskFailure counts a failed attempt. The task is tried again after a backoff,
// while it has attempts left. A watcher always has.
func (m *Machine) handleTaskFailure(j *job, index int) {
	if j.failures == nil {
		j.failures = make(map[int]int)
	}
	j.failures[index]++
	if j.Kind != endive.KindWatcher && (j.NonIdempotent || j.failures[index] >= j.Attempts) {
		j.markEnded(index, endive.JobFailed)
		return
	}
	m.retryLater(j, index, j.failures[index])
}

// handleTaskLoss tries a task again whose worker was lost. The end of a non-idempotent
// one stays unknown.
func (m *Machine) handleTaskLoss(j *job, index int) {
	if j.NonIdempotent {
		j.markEnded(index, endive.JobUnknown)
		return
	}
	if j.losses == nil {
		j.losses = make(map[int]int)
	}
	j.losses[index]++
	if j.Kind != endive.KindWatcher && j.losses[index] > maxTaskLosses {
		j.markEnded(index, endive.JobFailed)
		return
	}
	j.requeued = append(j.requeued, index)
}

// restartGang stops the other tasks of a gang that has lost one.
func (m *Machine) restartGang(j *job) {
	if j.Kind != endive.KindGang || j.NonIdempotent || j.cancelled || j.gangRestarting {
		return
	}
	j.gangRestarting = true
	for _, a := range j.attemptsInOrder() {
		m.stopAttempt(a, stopGangRestart)
	}
}

// finishGangRestart goes on once all tasks of a regrouped gang have ended: they wait
// to start together again, or fail together.
func (m *Machine) finishGangRestart(j *job) {
	if !j.gangRestarting || len(j.running) > 0 {
		return
	}
	j.gangRestarting = false
	j.requeued, j.nextIndex = nil, 0
	if len(j.failed) == 0 {
		return
	}
	for index := 0; index < j.Tasks; index++ {
		j.markEnded(index, endive.JobFailed)
	}
}

// undoPlacement puts a task back in line whose attempt was certainly not started.
func (m *Machine) undoPlacement(a *attempt) {
	j := a.job
	if a.worker.byID[a.id] != a {
		return
	}
	a.worker.removeAttempt(a)
	a.worker.removeStart(a)
	m.capacityFreed(a.worker)
	m.changeUsage(j.team, endive.Resources{}.Sub(a.need))
	j.removeAttempt(a)
	if _, ok := j.recordedStarts[a.index]; ok {
		delete(j.recordedStarts, a.index)
		m.recordJob(j)
	}
	j.requeued = append(j.requeued, a.index)
	if !j.ended {
		m.restartGang(j)
		m.finishGangRestart(j)
		m.endJobIfDone(j)
		m.enqueue(j)
	}
}
