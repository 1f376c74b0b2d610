package place

import (
	"fmt"

	"endiveroute.example/endive"
)

// endAttempt handles an attempt that has certainly ended: the worker has
// reported the end, or the lease has expired.
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

// applyOutcome updates the task after the end of its attempt: it succeeds,
// fails, is retried or is queued again.
func (m *Machine) applyOutcome(a *attempt, r endive.TaskReport) {
	j, index := a.job, a.index
	switch {
	case r.State == endive.TaskSucceeded && j.Kind == endive.KindWatcher:
		m.retryLater(j, index, 1)
	case r.State == endive.TaskSucceeded:
		j.markSucceeded(index)
		delete(j.failures, index)
		delete(j.failedAttempts, index)
		delete(j.checkpointed, index)
		m.history.recordSuccess(j.Name, m.now.Sub(a.startedAt))
	case r.State == endive.TaskFailed:
		j.lastReason = fmt.Sprintf("task %d failed on %s: %s", index, a.worker.id, r.Reason)
		m.handleTaskFailure(j, a)
	case r.State == taskLost:
		j.lastReason = fmt.Sprintf("task %d was lost with %s: %s", index, a.worker.id, r.Reason)
		m.handleTaskLoss(j, a)
	case j.NonIdempotent && a.stopReason != stopCancel:
		j.lastReason = fmt.Sprintf("task %d was stopped on %s and is not retried, because it is not idempotent", index, a.worker.id)
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

// handleTaskFailure counts a failed attempt and retries the task after a
// backoff, as long as it has attempts left. A watcher is always retried.
func (m *Machine) handleTaskFailure(j *job, a *attempt) {
	index := a.index
	if j.failures == nil {
		j.failures = make(map[int]int)
	}
	j.failures[index]++
	j.addFailedAttempt(a)
	if j.Kind != endive.KindWatcher && (j.NonIdempotent || j.failures[index] >= j.Attempts) {
		j.markEnded(index, endive.JobFailed)
		return
	}
	m.retryLater(j, index, j.failures[index])
}

// addFailedAttempt notes that an attempt has been counted as failed. A watcher's failures aren't limited.
func (j *job) addFailedAttempt(a *attempt) {
	if j.Kind == endive.KindWatcher {
		return
	}
	if j.failedAttempts == nil {
		j.failedAttempts = make(map[int][]endive.AttemptID)
	}
	j.failedAttempts[a.index] = append(j.failedAttempts[a.index], a.id)
}

// handleTaskLoss starts a task again whose worker was lost. A non-idempotent
// task ends as unknown instead.
func (m *Machine) handleTaskLoss(j *job, a *attempt) {
	switch {
	case j.NonIdempotent:
		j.markEnded(a.index, endive.JobUnknown)
	case j.Kind == endive.KindWatcher:
		j.requeued = append(j.requeued, a.index)
	case a.leaseExpired:
		m.handleLeaseExpiry(j, a.index)
	default:
		m.handleCrash(j, a.index)
	}
}

// handleCrash starts a task again whose worker answers without the attempt, so
// that it has surely crashed. The task fails if that happens too often.
func (m *Machine) handleCrash(j *job, index int) {
	if j.losses == nil {
		j.losses = make(map[int]int)
	}
	j.losses[index]++
	if j.losses[index] > maxTaskLosses {
		j.markEnded(index, endive.JobFailed)
		return
	}
	j.requeued = append(j.requeued, index)
}

// handleLeaseExpiry starts a task again whose worker doesn't answer. The worker
// may have crashed or may only be cut off, so the task doesn't fail for that:
// after many such losses it waits longer and longer before it starts again.
func (m *Machine) handleLeaseExpiry(j *job, index int) {
	if j.expiries == nil {
		j.expiries = make(map[int]int)
	}
	j.expiries[index]++
	if excess := j.expiries[index] - maxTaskLosses; excess > 0 {
		m.retryLater(j, index, excess)
		return
	}
	j.requeued = append(j.requeued, index)
}

// restartGang stops the other tasks of a gang after one of them has ended
// without success.
func (m *Machine) restartGang(j *job) {
	if j.Kind != endive.KindGang || j.NonIdempotent || j.cancelled || j.gangRestarting {
		return
	}
	j.gangRestarting = true
	for _, a := range j.attemptsInOrder() {
		m.stopAttempt(a, stopGangRestart)
	}
}

// finishGangRestart completes the restart of a gang once all of its tasks have
// stopped: they are queued together, or all fail if one has failed.
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

// undoPlacement queues a task again whose attempt was certainly not started.
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
