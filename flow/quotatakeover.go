package flow

import "endiveroute.example/endive"

// After a takeover, workers that haven't answered yet may run tasks that an earlier holder has
// started. Until they answer, or their leases are surely over, these count against the caps.

// countPossibleRuns counts the tasks that an earlier holder may have started on workers that
// haven't answered yet.
func (m *Machine) countPossibleRuns() {
	for _, use := range m.quotas.uses {
		use.possible, use.unrecorded = endive.Resources{}, endive.Resources{}
	}
	if m.tenure.takeoverDone {
		return
	}
	m.countRecordedTasks()
	silent, capacity, capacityKnown := m.silentWorkers()
	if len(silent) == 0 {
		return
	}
	for _, j := range m.jobs {
		if j.account == "" || !j.inherited {
			continue
		}
		for _, occ := range j.active {
			for _, s := range occ.steps {
				if s.waiting > 0 && mayHaveRunOnAny(s, silent) {
					use := m.quotas.use(j.account)
					use.unrecorded = use.unrecorded.Add(s.spec.Reserved().Times(int64(s.waiting)))
					if capacityKnown {
						use.unrecorded = use.unrecorded.Min(capacity)
					}
					use.possible = use.possible.Add(s.beyondCapacity())
				}
			}
		}
	}
}

// beyondCapacity returns what the waiting tasks of a step use beside a worker's capacity.
func (s *step) beyondCapacity() endive.Resources {
	return s.spec.Need.Sub(s.spec.Reserved()).Times(int64(s.waiting))
}

// countRecordedTasks counts the tasks that may run on draining workers according to the roster.
func (m *Machine) countRecordedTasks() {
	for _, w := range m.sortedWorkers {
		if w.answered() {
			continue
		}
		for id := range w.recordedTasks {
			if t := m.tasks[id]; t != nil && t.state == taskWaiting && t.step.occ.job.account != "" {
				use := m.quotas.use(t.step.occ.job.account)
				use.possible = use.possible.Add(t.step.spec.Need)
			}
		}
	}
}

// silentWorkers returns the workers that haven't answered in this tenure and whose tasks aren't
// known, and their largest capacity, which limits what an earlier holder can have started there. The
// capacity isn't known if one of them isn't listed and was recorded by a build that doesn't
// record capacities.
func (m *Machine) silentWorkers() (silent []*worker, capacity endive.Resources, capacityKnown bool) {
	capacityKnown = true
	for _, w := range m.sortedWorkers {
		if !w.answered() && w.recordedTasks == nil {
			silent = append(silent, w)
			capacity = capacity.Add(w.largestCapacity)
			capacityKnown = capacityKnown && w.largestCapacity != (endive.Resources{})
		}
	}
	return silent, capacity, capacityKnown
}

// mayHaveRunOnAny reports whether an earlier holder may have started a task of a step on a worker.
func mayHaveRunOnAny(s *step, workers []*worker) bool {
	for _, w := range workers {
		if w.mayHaveRun(s) {
			return true
		}
	}
	return false
}
