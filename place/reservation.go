package place

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// reservation keeps workers for a gang that doesn't fit yet. Until startAt, the
// workers also run other jobs if these are expected to end by then or have a
// higher priority. After startAt they get no other tasks, so that the gang only
// has to wait for the tasks that already run there.
type reservation struct {
	job     *job
	workers []*worker
	// startAt is when the workers are expected to be free.
	startAt time.Time
}

// workerCapacity is the number of a gang's tasks that a worker can run, and the
// time from which it can.
type workerCapacity struct {
	worker *worker
	tasks  int
	freeAt time.Time
	score  float64
}

// reserveForGang reserves the workers that are expected to be free first.
func (m *Machine) reserveForGang(j *job) {
	want := j.waitingTasks()
	var capacities []workerCapacity
	for _, w := range m.workers.list {
		if r := m.expectedCapacity(j, w, want); r.tasks > 0 {
			capacities = append(capacities, r)
		}
	}
	sort.SliceStable(capacities, func(i, k int) bool { return capacities[i].freeAt.Before(capacities[k].freeAt) })
	next := &reservation{job: j, startAt: m.now}
	for _, r := range capacities {
		if want <= 0 {
			break
		}
		want -= r.tasks
		next.workers = append(next.workers, r.worker)
		if r.freeAt.After(next.startAt) {
			next.startAt = r.freeAt
		}
	}
	if want > 0 {
		j.lastReason = fmt.Sprintf("the workers have too little capacity for %d of its tasks, even when empty except for watchers", want)
		return
	}
	m.dropReservation()
	if j.reservationStart.IsZero() {
		j.reservationStart = next.startAt
	}
	next.startAt = j.reservationStart
	for _, w := range next.workers {
		w.reserved = true
	}
	m.gangReservation = next
	m.logDecision(endive.DecisionPlace, string(j.ID), fmt.Sprintf("%d workers reserved", len(next.workers)),
		fmt.Sprintf("the gang doesn't fit yet; its start is expected in %s", next.startAt.Sub(m.now).Round(time.Second)))
}

// expectedCapacity returns how many tasks of the gang the worker can run once
// all tasks but watchers have ended there, and when this is expected.
func (m *Machine) expectedCapacity(j *job, w *worker, want int) workerCapacity {
	if !w.acceptsTasks(m.now) {
		return workerCapacity{}
	}
	free, at := w.size, m.now
	for _, a := range w.attempts {
		if a.job != nil && a.job.Kind == endive.KindWatcher {
			free = free.Sub(a.need)
			continue
		}
		if a.expectedEnd.After(at) {
			at = a.expectedEnd
		}
	}
	return workerCapacity{worker: w, tasks: free.FitCount(j.Need, want), freeAt: at}
}

// dropReservation cancels the gang's reservation.
func (m *Machine) dropReservation() {
	if m.gangReservation == nil {
		return
	}
	for _, w := range m.gangReservation.workers {
		w.reserved = false
	}
	m.gangReservation = nil
	m.capacityChanged()
}

// reservedFor reports whether the job may use the worker in spite of a
// reservation.
func (m *Machine) reservedFor(w *worker, j *job) bool {
	r := m.gangReservation
	if !w.reserved || r == nil || r.job == j {
		return true
	}
	if !m.now.Before(r.startAt) {
		return false
	}
	return j.Priority > r.job.Priority || !m.now.Add(m.expectedRunTime(j)).After(r.startAt)
}
