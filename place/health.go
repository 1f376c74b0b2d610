package place

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// health tracks the failures on a worker and its quarantines.
type health struct {
	// failedJobs lists the different jobs that failed in a row on the worker.
	failedJobs []endive.JobName
	// quarantines counts the quarantines since a task last succeeded.
	quarantines int
	// trialAt is the end of the quarantine. From then on the worker gets one task
	// as a trial.
	trialAt time.Time
}

// passesQuarantine reports whether the worker's quarantines allow one more
// task. After a quarantine, the worker gets the next task only when the last
// task has ended or has run for trialDuration.
func (w *worker) passesQuarantine(now time.Time) bool {
	if w.health.quarantines == 0 {
		return true
	}
	if now.Before(w.health.trialAt) {
		return false
	}
	for _, a := range w.attempts {
		if a.state < attemptSent || now.Sub(a.startedAt) < trialDuration {
			return false
		}
	}
	return true
}

// updateHealth updates the worker's health after the end of an attempt. The
// failures of a job that has failed on jobFaultWorkers workers don't count
// against any worker.
func (m *Machine) updateHealth(w *worker, j *job, state endive.TaskState) {
	h := &w.health
	if state == endive.TaskSucceeded {
		if h.quarantines > 0 {
			m.capacityChanged()
		}
		*h = health{}
		return
	}
	if state != endive.TaskFailed {
		return
	}
	runs := m.history.forJob(j.Name)
	if !contains(runs.failedOn, w.id) && len(runs.failedOn) < jobFaultWorkers {
		runs.failedOn = append(runs.failedOn, w.id)
	}
	if len(runs.failedOn) >= jobFaultWorkers {
		return
	}
	if !containsName(h.failedJobs, j.Name) {
		h.failedJobs = append(h.failedJobs, j.Name)
	}
	if h.quarantines == 0 && len(h.failedJobs) < quarantineFailures {
		return
	}
	duration := firstQuarantine
	for i := 0; i < h.quarantines && duration < maxQuarantine; i++ {
		duration *= 2
	}
	h.quarantines++
	h.trialAt = m.now.Add(min(duration, maxQuarantine))
	m.logDecision(endive.DecisionQuarantine, string(w.id), "quarantined",
		fmt.Sprintf("%d different jobs failed in a row; one trial task after %s", len(h.failedJobs), min(duration, maxQuarantine)))
}

func contains(list []endive.WorkerID, id endive.WorkerID) bool {
	for _, one := range list {
		if one == id {
			return true
		}
	}
	return false
}

func containsName(list []endive.JobName, name endive.JobName) bool {
	for _, one := range list {
		if one == name {
			return true
		}
	}
	return false
}
