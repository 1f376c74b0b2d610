package place

import (
	"fmt"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// runSchedulingPass places tasks in the order of priority, until no more fit or
// the step has placed maxPlacementsPerStep.
func (m *Machine) runSchedulingPass() {
	if !m.passNeeded || !m.mayStart() {
		return
	}
	remaining := maxPlacementsPerStep
	for _, l := range m.queue.levels {
		remaining -= m.placeGangs(l)
		for remaining > 0 && m.placeNextTask(l) {
			remaining--
		}
		if remaining <= 0 {
			return
		}
	}
	m.passNeeded = false
}

// placeNextTask places one task of a priority and reports whether it placed
// one. It blocks the shapes for which no worker has free capacity.
func (m *Machine) placeNextTask(l *priorityLevel) bool {
	for {
		j, c := l.chooseJob(m.ranking)
		if j == nil {
			return false
		}
		if w, reason := m.chooseWorker(j); w != nil {
			m.placeTask(j, w, reason)
			return true
		}
		if m.parkImpossible(j) {
			continue
		}
		c.shape.block(l.priority)
		m.preempt(j, c.shape)
	}
}

// chooseWorker returns the best worker for a task of the job and the reason for
// the choice, or nil if none has free capacity.
func (m *Machine) chooseWorker(j *job) (*worker, string) {
	task := endive.PlacerTask{Kind: j.Kind, Need: j.Need}
	failedOn := m.history.forJob(j.Name).failedOn
	var best *worker
	var score float64
	var avoided bool
	candidates := 0
	for i, free := range m.workers.free {
		if !j.Need.Fits(free) {
			continue
		}
		w := m.workers.list[i]
		if !m.mayPlaceOn(w, j) {
			continue
		}
		candidates++
		s := m.placer.Score(task, endive.PlacerWorker{
			Size: w.size, Free: w.free(), JobTasksOnRack: j.racks[w.rack],
		})
		// A worker on which the job failed recently is chosen last, so that a retry
		// goes to another worker if possible.
		avoid := contains(failedOn, w.id)
		if best == nil || avoided && !avoid || avoid == avoided && s > score {
			best, score, avoided = w, s, avoid
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, fmt.Sprintf("best of %d workers with enough free capacity, score %.3f", candidates, score)
}

// mayPlaceOn reports whether the worker may run a task of the job. The caller
// has checked that the task fits.
func (m *Machine) mayPlaceOn(w *worker, j *job) bool {
	if !w.acceptsTasks(m.now) || !m.reservedFor(w, j) {
		return false
	}
	if w.claimed != (endive.Resources{}) && len(j.claims) == 0 && !j.Need.Add(w.claimed).Fits(w.free()) {
		return false
	}
	return j.Need.Accelerators > 0 || w.size.Accelerators == 0 || m.waitingAcceleratorTasks == 0
}

// placeTask commits a worker's resources to the next task of the job. The start
// of a non-idempotent task is sent only once the start is recorded in the
// table.
func (m *Machine) placeTask(j *job, w *worker, reason string) {
	index := j.nextTask()
	if index < 0 {
		j.requeued, j.nextIndex = nil, 0
		index = j.nextTask()
	}
	a := m.newAttempt(j, index)
	w.addAttempt(a)
	j.addAttempt(a)
	m.changeUsage(j.team, a.need)
	m.releaseUsedClaim(j, w)
	m.updateWaitingCount(j)
	m.logDecision(endive.DecisionPlace, string(a.task), string(w.id), reason)
	if !j.NonIdempotent {
		m.queueStart(a)
		return
	}
	if j.recordedStarts == nil {
		j.recordedStarts = make(map[int]rows.TaskStart)
	}
	j.recordedStarts[index] = rows.TaskStart{Worker: w.id, Attempt: a.id}
	j.startsToRecord = append(j.startsToRecord, a)
	m.recordJob(j)
}

// queueStart adds the start to the worker's next command.
func (m *Machine) queueStart(a *attempt) {
	a.state = attemptQueued
	a.worker.starts = append(a.worker.starts, a)
	m.workers.markCommandDue(a.worker)
}

// parkImpossible parks a job whose tasks fit on no worker, even an empty one.
func (m *Machine) parkImpossible(j *job) bool {
	for _, w := range m.workers.list {
		if w.state != endive.MemberGone && j.Need.Fits(w.size) {
			return false
		}
	}
	m.park(j, fmt.Sprintf("no worker of the slice has %s", j.Need))
	return true
}

func (m *Machine) park(j *job, reason string) {
	j.parkReason = reason
	m.parkedJobs++
	m.updateWaitingCount(j)
	m.logDecision(endive.DecisionPark, string(j.ID), "parked", reason)
}

// unparkAll queues the parked jobs again, after workers were added or became
// larger.
func (m *Machine) unparkAll() {
	if m.parkedJobs == 0 {
		return
	}
	for _, j := range m.jobsInOrder() {
		if j.parkReason != "" {
			j.parkReason, j.lastReason = "", ""
			m.enqueue(j)
		}
	}
	m.parkedJobs = 0
}
