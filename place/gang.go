package place

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// placeGangs tries to place the first gangs of a priority, and returns the
// number of tasks placed.
func (m *Machine) placeGangs(l *priorityLevel) int {
	placed, tried := 0, 0
	rest := l.gangs[:0]
	for _, j := range l.gangs {
		if j.waitingTasks() > 0 && tried < maxGangTries {
			tried++
			placed += m.placeGang(j)
		}
		if j.waitingTasks() > 0 {
			rest = append(rest, j)
			continue
		}
		j.queued = false
	}
	for i := len(rest); i < len(l.gangs); i++ {
		l.gangs[i] = nil
	}
	l.gangs = rest
	return placed
}

// placeGang places all tasks of a gang or none, and returns the number of tasks
// placed.
func (m *Machine) placeGang(j *job) int {
	want := j.waitingTasks()
	if j.triedAtVersion == m.capacityVersion || len(j.running) > 0 || len(j.delayed) > 0 {
		return 0
	}
	j.triedAtVersion = m.capacityVersion
	if !j.team.withinQuota(j.Need.Times(int64(want))) {
		j.lastReason = "the whole gang would exceed the team's quota"
		return 0
	}
	capacities := m.gangCapacities(j, want)
	if capacities == nil {
		m.parkOrReserveGang(j, want)
		return 0
	}
	if m.gangReservation != nil && m.gangReservation.job == j {
		m.dropReservation()
	}
	j.reservationStart = time.Time{}
	j.requeued, j.nextIndex = nil, 0
	reason := fmt.Sprintf("all %d tasks of the gang fit on %d workers", want, len(capacities))
	for _, r := range capacities {
		for i := 0; i < r.tasks; i++ {
			m.placeTask(j, r.worker, reason)
		}
	}
	return want
}

// gangCapacities returns workers that have free capacity for all tasks of the
// gang together, or nil if there are too few.
func (m *Machine) gangCapacities(j *job, want int) []workerCapacity {
	task := endive.PlacerTask{Kind: j.Kind, Need: j.Need}
	var capacities []workerCapacity
	for _, w := range m.workers.list {
		if !j.Need.Fits(w.free()) || !m.mayPlaceOn(w, j) {
			continue
		}
		n := w.free().Sub(w.claimed).Add(j.claimedOn(w)).FitCount(j.Need, want)
		if n > 0 {
			s := m.placer.Score(task, endive.PlacerWorker{Size: w.size, Free: w.free()})
			capacities = append(capacities, workerCapacity{worker: w, tasks: n, score: s})
		}
	}
	sort.SliceStable(capacities, func(i, k int) bool { return capacities[i].score > capacities[k].score })
	for i := range capacities {
		capacities[i].tasks = min(capacities[i].tasks, want)
		want -= capacities[i].tasks
		if want == 0 {
			return capacities[:i+1]
		}
	}
	return nil
}

// parkOrReserveGang handles a gang that can't be placed now. It parks the gang
// if the workers are too small or too few even when empty, and otherwise
// preempts tasks or reserves workers for it.
func (m *Machine) parkOrReserveGang(j *job, want int) {
	fits := 0
	for _, w := range m.workers.list {
		if w.state != endive.MemberGone {
			fits += w.size.FitCount(j.Need, want)
		}
	}
	if fits < want {
		m.park(j, fmt.Sprintf("the slice's workers can run only %d of the gang's %d tasks of %s, even when empty", fits, want, j.Need))
		return
	}
	if m.preemptForGang(j, want) {
		return
	}
	current := m.gangReservation
	if current == nil || j.Priority > current.job.Priority && m.now.Before(current.startAt) || current.job == j && m.reservationBroken() {
		m.reserveForGang(j)
	}
}

// reservationBroken reports whether the reserved workers can no longer hold the
// gang: one of them accepts no tasks now, or a watcher of higher priority has
// taken capacity.
func (m *Machine) reservationBroken() bool {
	current := m.gangReservation
	want := current.job.waitingTasks()
	fits := 0
	for _, w := range current.workers {
		if !w.acceptsTasks(m.now) {
			return true
		}
		fits += m.expectedCapacity(current.job, w, want).tasks
	}
	return fits < want
}
