package place

import (
	"fmt"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// pass places tasks in the order of priority, until nothing fits or the step has
// placed its share.
func (m *Machine) pass() {
	if !m.changed || !m.mayStart() {
		return
	}
	left := maxDecisions
	for _, l := range m.queue.levels {
		left -= m.placeGangs(l)
		for left > 0 && m.placeOne(l) {
			left--
		}
		if left <= 0 {
			return
		}
	}
	m.changed = false
}

// placeOne places one task of a level, and reports whether it did. Shapes that
// don't fit are blocked on the way.
func (m *Machine) placeOne(l *level) bool {
	for {
		j, c := l.choose(m.ranks)
		if j == nil {
			return false
		}
		if w, why := m.pick(j); w != nil {
			m.start(j, w, why)
			return true
		}
		if m.parkImpossible(j) {
			continue
		}
		c.shape.block(l.priority)
		m.preempt(j, c.shape)
	}
}

// pick returns the worker for a task of the job, with the reason.
func (m *Machine) pick(j *job) (*worker, string) {
	task := endive.PlacerTask{Kind: j.Kind, Need: j.Need}
	failedOn := m.learned.of(j.Name).failedOn
	var best *worker
	var score float64
	var avoided bool
	candidates := 0
	for i, free := range m.workers.free {
		if !j.Need.Fits(free) {
			continue
		}
		w := m.workers.list[i]
		if !m.allows(w, j) {
			continue
		}
		candidates++
		s := m.placer.Score(task, endive.PlacerWorker{
			Size: w.size, Free: w.free(), JobTasksOnRack: j.racks[w.rack],
		})
		// A worker where the job failed lately is the last choice, or a retry would
		// go where the first attempt went.
		avoid := contains(failedOn, w.id)
		if best == nil || avoided && !avoid || avoid == avoided && s > score {
			best, score, avoided = w, s, avoid
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, fmt.Sprintf("best of %d workers with room, score %.3f", candidates, score)
}

// allows reports whether the worker may get a task of the job, given that it has
// room.
func (m *Machine) allows(w *worker, j *job) bool {
	if !w.usable(m.now) || !m.reservedFor(w, j) {
		return false
	}
	if w.claimed != (endive.Resources{}) && len(j.claims) == 0 && !j.Need.Add(w.claimed).Fits(w.free()) {
		return false
	}
	return j.Need.Accelerators > 0 || w.size.Accelerators == 0 || m.acceleratorsWaiting == 0
}

// start commits a worker's resources to the next task of the job. A
// non-idempotent task waits for its start row.
func (m *Machine) start(j *job, w *worker, why string) {
	index := j.take()
	if index < 0 {
		j.again, j.next = nil, 0
		index = j.take()
	}
	a := m.newAttempt(j, index)
	w.add(a)
	j.run(a)
	m.use(j.team, a.need)
	m.useClaim(j, w)
	m.recount(j)
	m.decide(endive.DecisionPlace, string(a.task), string(w.id), why)
	if !j.NonIdempotent {
		m.queueStart(a)
		return
	}
	if j.started == nil {
		j.started = make(map[int]rows.TaskStart)
	}
	j.started[index] = rows.TaskStart{Worker: w.id, Attempt: a.id}
	j.recording = append(j.recording, a)
	m.record(j)
}

// queueStart puts the start into the worker's next command.
func (m *Machine) queueStart(a *attempt) {
	a.state = attemptQueued
	a.worker.starts = append(a.worker.starts, a)
	m.workers.touch(a.worker)
}

// parkImpossible takes a job out of line whose tasks fit on no worker's size.
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
	j.parked = reason
	m.parked++
	m.recount(j)
	m.decide(endive.DecisionPark, string(j.ID), "parked", reason)
}

// unparkAll tries the parked jobs again, because workers came or grew.
func (m *Machine) unparkAll() {
	if m.parked == 0 {
		return
	}
	for _, j := range m.jobsInOrder() {
		if j.parked != "" {
			j.parked, j.reason = "", ""
			m.enqueue(j)
		}
	}
	m.parked = 0
}
