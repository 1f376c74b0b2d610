package flow

import "endiveroute.example/endive"

// roomPlan is the capacity that workers have or will have soon, after runs have been stopped for some steps.
type roomPlan struct {
	machine    *Machine
	candidates map[*worker][]*run
	chosen     map[*run]bool
	// room is what is free on the workers that were looked at; it is negative on drained ones.
	room map[*worker]endive.Resources
}

func newRoomPlan(m *Machine, candidates map[*worker][]*run) *roomPlan {
	return &roomPlan{machine: m, candidates: candidates, chosen: make(map[*run]bool), room: make(map[*worker]endive.Resources)}
}

// on returns what is free on a worker, will be soon, or is being freed by runs that are stopping.
func (p *roomPlan) on(w *worker) endive.Resources {
	room, ok := p.room[w]
	if ok {
		return room
	}
	byRuns := w.freeingSoon
	for _, r := range w.runs {
		if r.state == runStopping {
			byRuns = byRuns.Add(r.need)
		}
	}
	p.room[w] = w.free().Add(w.freed(byRuns))
	return p.room[w]
}

// returnReserved adds what the current scheduling pass has reserved for a step without room.
func (p *roomPlan) returnReserved(unplaced unplacedStep) {
	s, tasks := unplaced.step, unplaced.tasks
	for _, w := range s.gang.drainedWorkers {
		p.room[w] = p.on(w).Add(s.spec.Reserved())
	}
	for _, made := range s.madeRoom[:min(tasks, len(s.madeRoom))] {
		p.room[made.worker] = p.on(made.worker).Add(s.spec.Reserved())
	}
}

// makeRoom takes room for the tasks of a step, and returns the runs that have to be stopped for it. If there is no room
// for all members of a gang, it stops none.
func (p *roomPlan) makeRoom(unplaced unplacedStep) []*run {
	s := unplaced.step
	var victims []*run
	var made []madeRoom
	taken := make(map[*worker]int64)
	for range unplaced.tasks {
		w, stopped := p.findRoom(s)
		if w == nil {
			break
		}
		for _, victim := range stopped {
			p.setChosen(victim, true)
		}
		victims = append(victims, stopped...)
		if len(stopped) > 0 {
			made = append(made, madeRoom{worker: w, until: p.machine.now.Add(madeRoomHold)})
		}
		taken[w]++
		p.room[w] = p.on(w).Sub(s.spec.Reserved())
	}
	if s.spec.Gang && total(taken) < int64(unplaced.tasks) {
		p.undo(s, taken, victims)
		return nil
	}
	s.madeRoom = append(s.madeRoom, made...)
	return victims
}

// total returns the sum of the counts.
func total(counts map[*worker]int64) int64 {
	sum := int64(0)
	for _, count := range counts {
		sum += count
	}
	return sum
}

// findRoom returns a worker with room for a task of a step, and the runs that have to be stopped there, as few as
// possible; nil if there is none.
func (p *roomPlan) findRoom(s *step) (best *worker, victims []*run) {
	for _, w := range p.machine.candidateWorkers(s) {
		if !p.machine.meetsConstraints(s, w) || !w.couldRun(s) {
			continue
		}
		stopped, ok := p.victimsOn(w, s)
		if ok && (best == nil || len(stopped) < len(victims)) {
			best, victims = w, stopped
		}
		if best != nil && len(victims) == 0 {
			break
		}
	}
	return best, victims
}

// victimsOn returns the runs that have to be stopped so that a task of a step fits on a worker, and whether it then does.
func (p *roomPlan) victimsOn(w *worker, s *step) ([]*run, bool) {
	need, room := s.spec.Reserved(), p.on(w)
	var victims []*run
	for _, r := range p.candidates[w] {
		if need.Fits(room) {
			break
		}
		if !p.chosen[r] && p.machine.givesWayTo(r, s) {
			room = room.Add(r.need)
			victims = append(victims, r)
		}
	}
	return victims, need.Fits(room)
}

// undo takes back what was planned for a step.
func (p *roomPlan) undo(s *step, taken map[*worker]int64, victims []*run) {
	for w, count := range taken {
		p.room[w] = p.on(w).Add(s.spec.Reserved().Times(count))
	}
	for _, victim := range victims {
		p.setChosen(victim, false)
	}
}

func (p *roomPlan) setChosen(victim *run, chosen bool) {
	for _, r := range victim.withGang() {
		if p.chosen[r] == chosen {
			continue
		}
		p.chosen[r] = chosen
		if chosen {
			p.room[r.worker] = p.on(r.worker).Add(r.need)
		} else {
			p.room[r.worker] = p.on(r.worker).Sub(r.need)
		}
	}
}

// withGang returns the run, or the runs of all members of its gang.
func (r *run) withGang() []*run {
	s := r.task.step
	if !s.spec.Gang {
		return []*run{r}
	}
	var runs []*run
	for _, t := range s.tasks {
		if t.run != nil {
			runs = append(runs, t.run)
		}
	}
	return runs
}

// candidateWorkers returns the workers that may run a step as far as it is known.
func (m *Machine) candidateWorkers(s *step) []*worker {
	if !s.tickets.surveyed() {
		return m.sortedWorkers
	}
	return m.eligibleWorkers(s)
}
