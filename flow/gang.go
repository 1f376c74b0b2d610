package flow

import (
	"math"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// gang is the state of a step whose tasks work only together.
type gang struct {
	// run is the run number that all members share while they run; 0 otherwise.
	run endive.RunNumber
	// failed are the runs that failed.
	failed []endive.RunNumber
	// reserved are the workers that are kept for the members while fresh tickets are
	// asked for, one for each member; drained are those that are kept until they have
	// room, of which so many are still at work.
	reserved []*worker
	drained  []*worker
	draining int
	// lookAt is when to look again for other workers.
	lookAt time.Time
}

// placeGang starts all tasks of a gang at once, or sets room aside for them.
func (m *Machine) placeGang(s *step) {
	for _, t := range s.tasks {
		if !m.startable(t) {
			return
		}
	}
	var chosen []*worker
	if m.mayFit(s) {
		chosen = m.chooseGang(s)
	}
	if chosen == nil {
		m.awaitGang(s)
		return
	}
	s.gang.reserved, s.gang.drained = nil, nil
	n := m.nextRun(s.tasks...)
	s.gang.run = n
	for i, t := range s.tasks {
		m.startRun(t, chosen[i], n, m.placeReason(s, chosen[i]))
	}
}

// chooseGang returns a worker for each member, or nil. Members that are slow apart
// go to one rack where one has room.
func (m *Machine) chooseGang(s *step) []*worker {
	return m.chooseFor(s, func(w *worker) bool { return m.fits(s, w) })
}

// candidates returns the workers on which members may start, as far as advice has told.
func (m *Machine) candidates(s *step) []*worker {
	if !m.needsTicket(s) {
		return m.ordered
	}
	workers := make([]*worker, 0, len(s.tickets.goodIDs))
	for _, id := range s.tickets.goodIDs {
		if w := m.workers[id]; w != nil {
			workers = append(workers, w)
		}
	}
	return workers
}

// chooseFor does so among the workers that will do.
func (m *Machine) chooseFor(s *step, able func(*worker) bool) []*worker {
	candidates := m.candidates(s)
	if s.spec.SameRack {
		for _, rack := range m.racks() {
			onRack := func(w *worker) bool { return w.self.HasLabel(rack) && able(w) }
			if chosen := m.chooseMembers(s, candidates, onRack); chosen != nil {
				return chosen
			}
		}
	}
	return m.chooseMembers(s, candidates, able)
}

// chooseMembers returns a worker for each member among those that will do, or nil.
func (m *Machine) chooseMembers(s *step, candidates []*worker, able func(*worker) bool) []*worker {
	var chosen []*worker
	before := make(map[*worker]endive.Resources)
	for range s.tasks {
		w := m.chooseOn(s, candidates, able)
		if w == nil {
			break
		}
		if _, ok := before[w]; !ok {
			before[w] = w.setAside
		}
		w.setAside = w.setAside.Add(s.spec.Reserved())
		s.perWorker[w.id]++
		chosen = append(chosen, w)
	}
	for w, aside := range before {
		w.setAside = aside
	}
	for _, w := range chosen {
		s.perWorker[w.id]--
		if s.perWorker[w.id] == 0 {
			delete(s.perWorker, w.id)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}

func (m *Machine) chooseOn(s *step, candidates []*worker, able func(*worker) bool) *worker {
	var best *worker
	var bestScore float64
	for _, w := range candidates {
		if !able(w) {
			continue
		}
		if score := m.score(s, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// racks returns the labels that workers share.
func (m *Machine) racks() []endive.Label {
	seen := make(map[endive.Label]bool)
	var racks []endive.Label
	for _, w := range m.ordered {
		for _, label := range w.self.Labels {
			if !seen[label] {
				seen[label] = true
				racks = append(racks, label)
			}
		}
	}
	sort.Slice(racks, func(i, j int) bool { return racks[i] < racks[j] })
	return racks
}

// maxDraining is which part of the workers may be kept for gangs while tasks are still
// at work there, and pressedDraining the part while other work that could be on time is
// short of it. It answers many gangs beside many small tasks: each gang needs several
// workers that are empty at the same time, which small tasks with time to spare can give;
// in a backlog half of the pool would stand idle for gangs while small tasks grow late.
const (
	maxDraining     = 0.2
	pressedDraining = 0.05
	// pressedSpare is how little time to spare work has that is pressed.
	pressedSpare = 3 * time.Second
)

// setAside keeps the room of the workers that are free soonest for a gang that
// has none yet, so that small tasks of lower rank don't hold it up for ever, and
// don't take the room while the gang's tickets are asked for.
func (m *Machine) setAside(s *step) {
	s.gang.drained = nil
	if m.draining >= m.mostDraining {
		return
	}
	able := m.drainable(s)
	if len(able) < len(s.tasks) {
		return
	}
	sort.SliceStable(able, func(i, j int) bool { return able[i].freeIn < able[j].freeIn })
	able = able[:len(s.tasks)]
	draining := 0
	for _, one := range able {
		if one.freeIn > 0 {
			draining++
		}
	}
	if draining > 0 && m.draining+draining > m.mostDraining {
		return
	}
	for _, one := range able {
		s.gang.drained = append(s.gang.drained, one.worker)
	}
	s.gang.draining = draining
	m.keepDrained(s)
}

// keepDrained keeps the workers that a gang waits for from the work that comes later in
// the look.
func (m *Machine) keepDrained(s *step) {
	if len(s.gang.drained) == 0 {
		return
	}
	m.draining += s.gang.draining
	need := s.spec.Reserved()
	for _, w := range s.gang.drained {
		w.setAside = w.setAside.Add(need)
		m.claims.drained = m.claims.drained.Add(need)
	}
}

// drainedWorker is a worker that could be kept for a gang, and when it probably has room
// for a member.
type drainedWorker struct {
	worker *worker
	freeIn time.Duration
}

// drainable returns the workers that could be kept for a gang.
func (m *Machine) drainable(s *step) []drainedWorker {
	var able []drainedWorker
	for _, w := range m.candidates(s) {
		if m.couldStart(s, w) && w.couldRun(s) && w.setAside == (endive.Resources{}) {
			able = append(able, drainedWorker{worker: w, freeIn: m.freeIn(w, s.spec.Reserved())})
		}
	}
	return able
}

// freeIn returns when a worker probably has some room if nothing new starts there.
func (m *Machine) freeIn(w *worker, need endive.Resources) time.Duration {
	free := w.free()
	if need.Fits(free) {
		return 0
	}
	runs := w.sortedRuns()
	sort.SliceStable(runs, func(i, j int) bool { return m.endsIn(runs[i]) < m.endsIn(runs[j]) })
	for _, r := range runs {
		free = free.Add(r.need)
		if need.Fits(free) {
			return m.endsIn(r)
		}
	}
	return forever
}

// endsIn returns when a run is probably over.
func (m *Machine) endsIn(r *run) time.Duration {
	if r.task == nil || r.task.step.spec.LongRunning {
		return forever
	}
	return r.left(m.now)
}

// forever stands for a time that doesn't come.
const forever = time.Duration(math.MaxInt64)

// mayDrain returns how many workers may be kept for gangs while tasks are at work there;
// one gang may always wait for its room.
func (m *Machine) mayDrain() int {
	part := maxDraining
	if m.pressed {
		part = pressedDraining
	}
	return max(int(part*float64(len(m.ordered))), m.largestGang())
}

// press notes that tasks wait for room which gangs leave, or don't.
func (m *Machine) press(j *job) {
	if j.rank.tier == tierOnTime && !j.lasts() && m.isPressed(j) {
		m.pressing = true
	}
}

// isPressed reports whether a job has little time to spare.
func (m *Machine) isPressed(j *job) bool { return j.objective.Sub(m.now)-j.remaining() < pressedSpare }

// largestGang returns the number of members of the largest gang that waits.
func (m *Machine) largestGang() int {
	largest := 0
	for _, j := range m.jobs {
		for i := range j.spec.Steps {
			if j.spec.Steps[i].Gang && !j.state.Ended() {
				largest = max(largest, j.spec.Steps[i].Tasks)
			}
		}
	}
	return largest
}

// gangConfirmed is told when a member of a gang has started.
func (m *Machine) gangConfirmed(r *run) {
	s := r.task.step
	if s.spec.Gang && r.number != s.gang.run && r.state == runRunning {
		m.stopRun(r, "its gang was given up")
	}
}

// gangBroken ends all members of a gang of which one is missing.
func (m *Machine) gangBroken(s *step, reason string) {
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

// checkGangs ends gangs of earlier holders of which not all members run.
func (m *Machine) checkGangs() {
	for _, j := range m.jobs {
		for _, occ := range j.sortedOccs() {
			for _, s := range occ.steps {
				if s.spec.Gang && s.gang.run > 0 && !s.gangWhole() {
					m.gangBroken(s, "not all members run")
				}
			}
		}
	}
}

// gangWhole reports whether all members run under the gang's number, or are done.
func (s *step) gangWhole() bool {
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
