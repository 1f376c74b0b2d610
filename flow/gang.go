package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// gang is the state of a step whose tasks can only run all together.
type gang struct {
	// run is the run number that all members share while they run; 0 otherwise.
	run endive.RunNumber
	// resume is the checkpoint with which all members of that run start.
	resume endive.Checkpoint
	// failedRuns are the run numbers of the gang's failed attempts.
	failedRuns []endive.RunNumber
	// reservedWorkers are the workers, one for each member, on which capacity is reserved
	// while new tickets are requested. drainedWorkers are the workers on which no other
	// task is started until a member fits; busyDrained counts those where none fits yet.
	reservedWorkers []*worker
	drainedWorkers  []*worker
	busyDrained     int
	// searchAt is when the next search for workers is due.
	searchAt time.Time
}

// placeGang starts all tasks of a gang at once, or reserves capacity for them.
func (m *Machine) placeGang(s *step) {
	for _, t := range s.tasks {
		if !m.startable(t) {
			return
		}
	}
	s.heldBack = false
	var chosen []*worker
	if m.mightFit(s) {
		chosen = m.chooseGang(s)
	}
	if chosen == nil {
		m.prepareGang(s)
		m.reserveAllowance(s)
		m.countWaiting(s, s.spec.Tasks)
		m.waits(s, s.spec.Tasks, m.gangWaitReason(s))
		m.waitLog.position++
		return
	}
	s.restartWait()
	s.gang.reservedWorkers, s.gang.drainedWorkers = nil, nil
	n := m.nextRun(s.tasks...)
	s.gang.run = n
	s.gang.resume = s.shareCheckpoint()
	for i, t := range s.tasks {
		m.startRun(t, chosen[i], n, m.placeReason(s, chosen[i]))
	}
}

// shareCheckpoint gives all members of a gang the checkpoint of the one that has got furthest, and returns
// it. Each member saves values of its own, and any of them holds for all.
func (s *step) shareCheckpoint() endive.Checkpoint {
	best := s.tasks[0]
	for _, t := range s.tasks {
		if t.checkpoint != "" && (best.checkpoint == "" || t.savedPercent > best.savedPercent) {
			best = t
		}
	}
	for _, t := range s.tasks {
		t.checkpoint, t.savedPercent = best.checkpoint, best.savedPercent
	}
	return best.checkpoint
}

// chooseGang returns a worker for each member, or nil if some member fits nowhere. Members
// that are slow in different racks are placed in one rack if possible.
func (m *Machine) chooseGang(s *step) []*worker {
	return m.chooseGangAmong(s, func(w *worker) (endive.Resources, bool) { return w.free(), m.hasTicket(s, w) })
}

// eligibleWorkers returns the workers that are known to be eligible for a step; all workers
// if the step needs no tickets.
func (m *Machine) eligibleWorkers(s *step) []*worker {
	if !m.needsTicket(s) {
		return m.sortedWorkers
	}
	workers := make([]*worker, 0, len(s.tickets.eligibleIDs))
	for _, id := range s.tickets.eligibleIDs {
		if w := m.workers[id]; w != nil {
			workers = append(workers, w)
		}
	}
	return workers
}

// gangPlace is a worker and how many members of a gang still fit there.
type gangPlace struct {
	worker *worker
	places int
}

// chooseGangAmong returns a worker for each member, or nil, like chooseGang. capacity returns what
// of a worker's capacity members may use, and whether they may use the worker at all.
func (m *Machine) chooseGangAmong(s *step, capacity func(*worker) (endive.Resources, bool)) []*worker {
	places, total := m.gangPlaces(s, capacity)
	if total < len(s.tasks) {
		return nil
	}
	if s.spec.SameRack {
		for _, rack := range racksOf(places) {
			if onRack, total := placesOnRack(places, rack); total >= len(s.tasks) {
				return m.chooseMembers(s, onRack)
			}
		}
	}
	return m.chooseMembers(s, places)
}

// gangPlaces returns the workers on which members of a gang fit, and how many fit in total. In a
// backlog most searches end here: many gangs wait, each for many workers.
func (m *Machine) gangPlaces(s *step, capacity func(*worker) (endive.Resources, bool)) ([]gangPlace, int) {
	var places []gangPlace
	total := 0
	need := s.spec.Reserved()
	for _, w := range m.eligibleWorkers(s) {
		if !m.meetsConstraints(s, w) {
			continue
		}
		available, ok := capacity(w)
		if !ok {
			continue
		}
		if count := w.placesIn(s, need, available); count > 0 {
			places = append(places, gangPlace{worker: w, places: count})
			total += count
		}
	}
	return places, total
}

// placesOnRack returns the places on the workers with a rack's label, and how many members fit
// there in total.
func placesOnRack(places []gangPlace, rack endive.Label) ([]gangPlace, int) {
	var onRack []gangPlace
	total := 0
	for _, place := range places {
		if place.worker.info.HasLabel(rack) {
			onRack = append(onRack, place)
			total += place.places
		}
	}
	return onRack, total
}

// racksOf returns all labels of the workers, sorted.
func racksOf(places []gangPlace) []endive.Label {
	var racks []endive.Label
	for _, place := range places {
		racks = append(racks, place.worker.info.Labels...)
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}

// chooseMembers returns the worker with the highest score for each member, one after the other. It
// reserves capacity for the members while it chooses, and undoes that before it returns.
func (m *Machine) chooseMembers(s *step, places []gangPlace) []*worker {
	chosen := make([]*worker, 0, len(s.tasks))
	reservedBefore := make(map[*worker]endive.Resources)
	for range s.tasks {
		place := m.choosePlace(s, places)
		place.places--
		w := place.worker
		if _, ok := reservedBefore[w]; !ok {
			reservedBefore[w] = w.reserved
		}
		w.reserved = w.reserved.Add(s.spec.Reserved())
		chosen = append(chosen, w)
	}
	for w, reserved := range reservedBefore {
		w.reserved = reserved
	}
	return chosen
}

// choosePlace returns the place with the highest score for a member among those where one fits.
func (m *Machine) choosePlace(s *step, places []gangPlace) *gangPlace {
	var best *gangPlace
	var bestScore float64
	for i := range places {
		place := &places[i]
		if place.places == 0 {
			continue
		}
		if score := m.score(s, place.worker); best == nil || score > bestScore {
			best, bestScore = place, score
		}
	}
	return best
}

// checkGangMember stops a member that has started after its gang was aborted.
func (m *Machine) checkGangMember(r *run) {
	s := r.task.step
	if s.spec.Gang && r.number != s.gang.run && r.state == runRunning {
		m.stopRun(r, "its gang was aborted")
	}
}

// abortGang stops all members of a gang because one of them is missing.
func (m *Machine) abortGang(s *step, reason string) {
	if !s.spec.Gang || s.gang.run == 0 {
		return
	}
	s.gang.run = 0
	for _, t := range s.tasks {
		if t.run != nil && t.state == taskPlaced {
			m.stopRun(t.run, reason)
		}
	}
}

// abortIncompleteGangs stops the gangs of earlier holders of which some members don't run.
func (m *Machine) abortIncompleteGangs() {
	for _, j := range m.jobs {
		for _, occ := range j.sortedOccurrences() {
			for _, s := range occ.steps {
				if s.spec.Gang && s.gang.run > 0 && !s.gangComplete() {
					m.abortGang(s, "some members of the gang don't run")
				}
			}
		}
	}
}

// gangComplete reports whether all members run under the gang's run number. A gang of which
// a member has succeeded counts as complete.
func (s *step) gangComplete() bool {
	for _, t := range s.tasks {
		if t.state >= taskSucceeded {
			return true
		}
		if t.run == nil || t.run.number != s.gang.run {
			return false
		}
	}
	return true
}
