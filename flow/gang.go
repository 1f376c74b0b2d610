package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// gang is the state of a step whose tasks can only run all together.
type gang struct {
	// run is the run number that all members share while they run; 0 otherwise.
	run endive.RunNumber
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
	s.placedAll()
	s.gang.reservedWorkers, s.gang.drainedWorkers = nil, nil
	n := m.nextRun(s.tasks...)
	s.gang.run = n
	for i, t := range s.tasks {
		m.startRun(t, chosen[i], n, m.placeReason(s, chosen[i]))
	}
}

// chooseGang returns a worker for each member, or nil if some member fits nowhere. Members
// that are slow in different racks are placed in one rack if possible.
func (m *Machine) chooseGang(s *step) []*worker {
	return m.chooseGangAmong(s, func(w *worker) bool { return m.fits(s, w) })
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

// chooseGangAmong returns a suitable worker for each member, or nil, like chooseGang.
func (m *Machine) chooseGangAmong(s *step, suitable func(*worker) bool) []*worker {
	candidates := m.eligibleWorkers(s)
	if s.spec.SameRack {
		for _, rack := range m.racks() {
			onRack := func(w *worker) bool { return w.info.HasLabel(rack) && suitable(w) }
			if chosen := m.chooseMembers(s, candidates, onRack); chosen != nil {
				return chosen
			}
		}
	}
	return m.chooseMembers(s, candidates, suitable)
}

// chooseMembers returns a suitable candidate for each member, or nil if there are too few. It
// reserves capacity for the members while it chooses, and undoes that before it returns.
func (m *Machine) chooseMembers(s *step, candidates []*worker, suitable func(*worker) bool) []*worker {
	var chosen []*worker
	reservedBefore := make(map[*worker]endive.Resources)
	for range s.tasks {
		w := m.chooseMember(s, candidates, suitable)
		if w == nil {
			break
		}
		if _, ok := reservedBefore[w]; !ok {
			reservedBefore[w] = w.reserved
		}
		w.reserved = w.reserved.Add(s.spec.Reserved())
		s.runsPerWorker[w.id]++
		chosen = append(chosen, w)
	}
	for w, reserved := range reservedBefore {
		w.reserved = reserved
	}
	for _, w := range chosen {
		s.runsPerWorker[w.id]--
		if s.runsPerWorker[w.id] == 0 {
			delete(s.runsPerWorker, w.id)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}

func (m *Machine) chooseMember(s *step, candidates []*worker, suitable func(*worker) bool) *worker {
	var best *worker
	var bestScore float64
	for _, w := range candidates {
		if !suitable(w) {
			continue
		}
		if score := m.score(s, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// racks returns all labels of the workers, sorted.
func (m *Machine) racks() []endive.Label {
	seen := make(map[endive.Label]bool)
	var racks []endive.Label
	for _, w := range m.sortedWorkers {
		for _, label := range w.info.Labels {
			if !seen[label] {
				seen[label] = true
				racks = append(racks, label)
			}
		}
	}
	sort.Slice(racks, func(i, j int) bool { return racks[i] < racks[j] })
	return racks
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
