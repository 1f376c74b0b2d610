package place

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// health is how far a worker can be trusted to run tasks.
type health struct {
	// failedJobs lists the unlike jobs that failedJobs in a row.
	failedJobs []endive.JobName
	// quarantines counts the quarantines in a row.
	quarantines int
	// trialAt is when the worker gets one task to prove itself.
	trialAt time.Time
}

// passesQuarantine reports whether the worker may get one more task. After a quarantine it
// gets the next one only when the last has ended or has run for a while.
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

// updateHealth takes in an end for the worker's health. A job that fails on every
// worker is its own fault.
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
	r := m.history.forJob(j.Name)
	if !contains(r.failedOn, w.id) && len(r.failedOn) < jobFaultWorkers {
		r.failedOn = append(r.failedOn, w.id)
	}
	if len(r.failedOn) >= jobFaultWorkers {
		return
	}
	if !containsName(h.failedJobs, j.Name) {
		h.failedJobs = append(h.failedJobs, j.Name)
	}
	if h.quarantines == 0 && len(h.failedJobs) < quarantineFailures {
		return
	}
	span := firstQuarantine
	for i := 0; i < h.quarantines && span < maxQuarantine; i++ {
		span *= 2
	}
	h.quarantines++
	h.trialAt = m.now.Add(min(span, maxQuarantine))
	m.logDecision(endive.DecisionQuarantine, string(w.id), "quarantined",
		fmt.Sprintf("%d unlike jobs failed in a row; one task as a probe after %s", len(h.failedJobs), min(span, maxQuarantine)))
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
