package place

import (
	"sort"
	"strings"

	"endiveroute.example/endive"
)

// taskIDLength returns the length of the task id at the start of an attempt id.
// The last "@" ends it.
func taskIDLength(id endive.AttemptID) int {
	return max(strings.LastIndexByte(string(id), '@'), 0)
}

// jobsInOrder returns the jobs in the order in which the machine first read
// them.
func (m *Machine) jobsInOrder() []*job {
	list := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].seq < list[k].seq })
	return list
}

// adoptAttempts adopts the attempts that the previous holder may have started,
// from the recorded starts and the workers' reports.
func (m *Machine) adoptAttempts() {
	var unreported []*attempt
	for _, j := range m.jobsInOrder() {
		for _, index := range startedTasks(j) {
			if a := m.adoptRecordedStart(j, index); a != nil {
				unreported = append(unreported, a)
			}
		}
	}
	for _, w := range m.workers.list {
		for _, a := range append([]*attempt(nil), w.attempts...) {
			if a.job == nil {
				m.adoptAttempt(a)
			}
		}
		ended := w.earlyEnds
		w.earlyEnds = nil
		for _, r := range ended {
			m.handleEarlyEnd(w, r)
		}
	}
	for _, a := range unreported {
		if a.worker.byID[a.id] == a && a.worker.answered {
			m.endAttempt(a, endive.TaskReport{State: taskLost, Reason: "the worker doesn't report the attempt"})
		}
	}
}

// startedTasks returns the indexes of the tasks with a recorded start, in
// rising order.
func startedTasks(j *job) []int {
	list := make([]int, 0, len(j.recordedStarts))
	for index := range j.recordedStarts {
		list = append(list, index)
	}
	sort.Ints(list)
	return list
}

// adoptRecordedStart adopts the attempt of a recorded start. It returns nil if
// a worker has already reported that attempt as running, and the new attempt
// otherwise.
func (m *Machine) adoptRecordedStart(j *job, index int) *attempt {
	start := j.recordedStarts[index]
	w := m.findOrAddWorker(start.Worker)
	if a := w.byID[start.Attempt]; a != nil {
		m.bindAttempt(a, j, index)
		return nil
	}
	a := &attempt{
		id: start.Attempt, task: taskID(j.ID, index), need: j.Need,
		state: attemptSent, startedAt: m.now,
	}
	w.addAttempt(a)
	m.bindAttempt(a, j, index)
	return a
}

// handleEarlyEnd handles a worker's report that an attempt has ended, received
// before the jobs were loaded.
func (m *Machine) handleEarlyEnd(w *worker, r endive.TaskReport) {
	if a := w.byID[r.Attempt]; a != nil {
		m.endAttempt(a, r)
		return
	}
	m.handleUnknownEnd(w, r)
}

// adoptAttempt makes a reported attempt the current one of its task. If the
// task can't have it, the attempt is stopped as an orphan.
func (m *Machine) adoptAttempt(a *attempt) {
	id, index := parseTask(a.task)
	j := m.jobs[id]
	if j != nil && j.running[index] == nil {
		// The task may be waiting for a retry, because another worker reported the
		// failure of an earlier attempt. This attempt is that retry.
		delete(j.delayed, index)
	}
	if j == nil || index < 0 || !j.startable(index) || j.cancelled || j.ended || j.NonIdempotent ||
		j.Kind == endive.KindGang && !j.awaitsTakeover {
		m.stopAttempt(a, stopOrphan)
		return
	}
	m.bindAttempt(a, j, index)
}

// bindAttempt makes an attempt the current one of a task.
func (m *Machine) bindAttempt(a *attempt, j *job, index int) {
	a.job, a.index = j, index
	a.expectedEnd = m.now.Add(m.expectedRunTime(j))
	j.addAttempt(a)
	m.changeUsage(j.team, a.need)
	m.updateWaitingCount(j)
	m.preemptibleVersion++
}
