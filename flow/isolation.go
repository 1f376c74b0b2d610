package flow

import "time"

// isolation keeps other starts away from a worker on which a suspected task starts alone.
type isolation struct {
	// keptFor is the task that the worker is kept for until expiry; nil for none.
	keptFor *task
	expiry  time.Time
	// soleRun is the run that was started alone, until the worker has been seen alive long enough
	// after its start.
	soleRun *run
}

// active reports whether nothing else may start on the worker.
func (i *isolation) active() bool { return i.keptFor != nil || i.soleRun != nil }

// chooseIsolated returns a worker on which a suspected task can start alone, or nil. If there is
// none, it keeps a suitable worker from other starts, so that there soon is one. It also reports
// whether the task has to wait for that, rather than for capacity or advice.
func (m *Machine) chooseIsolated(s *step, t *task, suitable []*worker) (chosen *worker, waits bool) {
	if t.crashes.keptOn != nil {
		return m.useKept(s, t, t.crashes.keptOn)
	}
	if len(suitable) > 0 && m.isolatedWorkers >= m.maxIsolated() {
		return nil, true
	}
	var best *worker
	for _, w := range suitable {
		if !m.fits(s, w) {
			continue
		}
		if best == nil || m.isolationCost(w, t) < m.isolationCost(best, t) {
			best = w
		}
	}
	switch {
	case best == nil:
		return nil, false
	case !best.hasSuspects():
		return best, false
	}
	m.keepFor(t, best)
	m.schedulePass(best.isolation.expiry)
	return nil, true
}

// Each of these costs is more than the number of runs on any worker. crashedRunCost is that of a run
// of a task under which workers have crashed, crashedWorkerCost that of a worker that has crashed
// lately, and sameAddressCost that of the place where the task ran last.
const (
	crashedRunCost    = 1 << 10
	crashedWorkerCost = 1 << 20
	sameAddressCost   = 1 << 30
)

// isolationCost orders workers for an isolated start: as few other runs as possible should be lost
// with the worker, and none should be a suspect beside the isolated one. A worker that crashes for
// a reason of its own has few runs whenever it is back, so the task starts elsewhere if it can.
func (m *Machine) isolationCost(w *worker, t *task) int {
	cost := len(w.runs)
	for _, r := range w.runs {
		if r.task != nil && r.task.crashes.total() > 0 {
			cost += crashedRunCost
		}
	}
	if w.hasSuspects() || w.id == t.avoidWorker {
		cost++
	}
	if m.crashLog.crashedAt(w.info.Address) {
		cost += crashedWorkerCost
	}
	if w.info.Address == t.crashes.address {
		cost += sameAddressCost
	}
	return cost
}

// keepFor keeps a worker from other starts for a task.
func (m *Machine) keepFor(t *task, w *worker) {
	w.isolation.keptFor, w.isolation.expiry = t, m.now.Add(isolationTimeout)
	t.crashes.keptOn = w
	m.isolatedWorkers++
}

// release lets other work start on a worker that is kept for a task.
func (w *worker) release() {
	if w.isolation.keptFor != nil {
		w.isolation.keptFor.crashes.keptOn = nil
		w.isolation.keptFor = nil
	}
}

// useKept returns the worker that is kept for a task if the task can start there alone now, and
// whether it may wait for that.
func (m *Machine) useKept(s *step, t *task, w *worker) (chosen *worker, waits bool) {
	kept := w.isolation
	w.release()
	switch {
	case !m.fits(s, w):
		return nil, false
	case !w.hasSuspects():
		return w, false
	}
	w.isolation, t.crashes.keptOn = kept, w
	return nil, true
}

// isolate marks a run as started alone.
func (m *Machine) isolate(r *run) {
	r.isolated = true
	r.worker.isolation = isolation{soleRun: r}
	m.isolatedWorkers++
	m.setPending(r.task, r.pending())
}

// maxIsolated returns how many workers may be isolated at the same time.
func (m *Machine) maxIsolated() int {
	share := maxIsolatedShare
	if !m.status.saturatedSince.IsZero() {
		share = saturatedIsolatedShare
	}
	return max(1, int(share*float64(len(m.sortedWorkers))))
}

// releaseIsolated lets other work start on the workers that are kept for tasks that no longer wait,
// and counts the workers that stay isolated.
func (m *Machine) releaseIsolated() {
	m.isolatedWorkers = 0
	for _, w := range m.sortedWorkers {
		t := w.isolation.keptFor
		if t != nil && (t.run != nil || t.state != taskWaiting || t.step.occ.job.state.Ended() || !w.usable() || !m.now.Before(w.isolation.expiry)) {
			w.release()
		}
		if w.isolation.active() {
			m.isolatedWorkers++
		}
	}
}

// updateIsolation ends the isolation of a worker that has answered long enough after the start, and
// starts the task that the worker is kept for once no run there is a suspect.
func (m *Machine) updateIsolation(w *worker) {
	if w.isolation.keptFor != nil {
		m.passDue = true
	}
	r := w.isolation.soleRun
	if r == nil || m.keepsAlone(r) {
		return
	}
	w.isolation.soleRun = nil
	m.passDue = true
	m.clearSuspect(r.task)
}
