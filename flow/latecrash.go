package flow

import (
	"math"
	"slices"
	"strconv"
	"time"

	"endiveroute.example/endive"
)

// A worker may also crash long after the start of the task that is the cause, when it has been seen
// alive meanwhile. Then every run on the worker may be the cause, and most are not. So such a late
// crash counts much less: only once several workers have crashed under a task, more than would by
// themselves, it is started alone, and only if a worker crashes then it is given up.

const (
	// minLateCrashes is the number of crashes after which a task may be started alone, and
	// minProvingCrashes that after which it may be given up.
	minLateCrashes    = 2
	minProvingCrashes = 3
	// suspiciousChance and convincingChance are chances that as many workers would have crashed by
	// themselves. Below them a task is started alone, or given up.
	suspiciousChance = 0.01
	convincingChance = 0.00001
	// lateIsolation is how long nothing else starts on the worker of such a task.
	lateIsolation = 6 * time.Second
	// lateMemory is how long a worker must have been seen alive after the start of a run for the
	// task to be no longer suspected for the crashes under its earlier runs.
	lateMemory = 20 * time.Second
)

// total returns the number of crashes under the task.
func (c *crashes) total() int { return len(c.runs) + len(c.late) }

// addLate counts a late crash under a run once. It reports whether it is new.
func (c *crashes) addLate(n endive.RunNumber) bool {
	if slices.Contains(c.runs, n) || slices.Contains(c.late, n) || slices.Contains(c.outlived, n) {
		return false
	}
	c.late = append(c.late, n)
	c.removePending(n)
	return true
}

// recordLateCrash counts the crash of a lost run's worker against the run's task, unless the worker has
// lately crashed without the task, too. It reports whether the crash counts. It delays the next start of the
// task, until the crash is recorded, only if the task is suspected: most are harmless.
func (m *Machine) recordLateCrash(l lostRun) bool {
	t := l.task
	j := t.step.occ.job
	others, flapping := m.crashLog.without(t.id, l.run.address)
	if t.state >= taskSucceeded || j.state.Ended() || flapping || !t.crashes.addLate(l.run.number) {
		return false
	}
	c := &t.crashes
	chance := m.chanceOfCrashes(l, others, c.total())
	c.lateSuspected = c.total() >= minLateCrashes && chance < suspiciousChance
	m.markDirty(j, rowLazy)
	if c.total() < minLateCrashes {
		return true
	}
	c.unrecorded = c.unrecorded || c.lateSuspected
	m.markDirty(j, rowUrgent)
	m.logDecision(Decision{Kind: DecisionEnd, Task: t.id, Run: l.run.number, Worker: l.run.worker, Outcome: OutcomeLateCrash,
		Reason: c.String() + ", the last one " + l.age.Round(time.Millisecond).String() + " after its start; the chance of that is " +
			strconv.FormatFloat(chance, 'g', 2, 64) + "; the last one: " + l.evidence.String(), Evidence: l.evidence, Crashes: l.crashCount()})
	return true
}

// chanceOfCrashes returns how likely it is that count workers crash by themselves under a task.
func (m *Machine) chanceOfCrashes(l lostRun, others, count int) float64 {
	return math.Pow(m.crashLog.chance(others, len(m.sortedWorkers), l.task.crashes.maxAge, m.now), float64(count))
}

// provenLate reports whether proven crashes, some of them late, show that the task of a lost run is their
// cause.
func (m *Machine) provenLate(l lostRun) bool {
	proven := l.task.crashes.provenTotal()
	others, flapping := m.crashLog.without(l.task.id, l.run.address)
	return !flapping && l.run.isolated && proven >= minProvingCrashes && m.chanceOfCrashes(l, others, proven) < convincingChance
}

// keepAloneAfterStart keeps other starts from the worker of a member of a suspected gang. The
// members can't be started alone, for they start together wherever there is room.
func (m *Machine) keepAloneAfterStart(r *run) {
	r.worker.isolation = isolation{soleRun: r}
	m.isolatedWorkers++
}

// startedAloneWith reports whether nothing else has been started on the worker since the run was,
// except other members of its gang. sole is the run that the worker is isolated for.
func (r *run) startedAloneWith(sole *run) bool {
	return sole != nil && (r == sole || r.task.step == sole.task.step && r.task.step.spec.Gang)
}

// lateSuspected reports whether a task of the step is suspected after late crashes.
func (s *step) lateSuspected() bool {
	return s.spec.Gang && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.crashes.lateSuspected })
}

// keepsAlone reports whether nothing else may start yet on the worker of a run that started alone.
func (m *Machine) keepsAlone(r *run) bool {
	suspected := r.task.crashes.lateSuspected || r.task.step.lateSuspected()
	return r.mayHaveCrashed() || suspected && m.now.Sub(r.startedAt) < lateIsolation
}

// forgetLateCrashes ends the suspicion for the late crashes under tasks whose runs have lived long enough.
func (m *Machine) forgetLateCrashes(w *worker) {
	for _, r := range w.runs {
		t := r.task
		if t == nil || len(t.crashes.late) == 0 || t.step.occ.job.state.Ended() || w.seenAliveAt().Sub(r.startedAt) < lateMemory {
			continue
		}
		t.crashes.outlived = append(t.crashes.outlived, t.crashes.late...)
		t.crashes.late, t.crashes.lateSuspected, t.crashes.maxAge = nil, false, 0
		m.markDirty(t.step.occ.job, rowLazy)
	}
}
