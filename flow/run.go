package flow

import (
	"time"

	"endiveroute.example/endive"
)

// run is one attempt to run a task on a worker, from the order to start the task until the
// worker reports the end of the run or the run has certainly ended.
type run struct {
	// task is nil for a run that is to be stopped because it isn't its task's current run.
	task *task
	// orphanOf is the task of such a run; nil if it isn't known.
	orphanOf *task
	id       endive.TaskID
	number   endive.RunNumber
	worker   *worker
	need     endive.Resources
	// spec and account are those of the run's task; spec is nil if the task isn't known.
	spec    *endive.Step
	account endive.AccountName
	state   runState
	// inFlight is true from sending an order to start or stop the run until the order's answer.
	inFlight bool
	// sentTo is the number of the worker's incarnation to which that order was sent, or which has shown the run first.
	sentTo int
	// sentEpochs is what the worker's epochsUsed was when that order was sent.
	sentEpochs int
	// sentAt is when that order was sent, and sentClock the reading of the worker's clock that was known then. sentStart is
	// true if it was an order to start.
	sentAt    time.Time
	sentClock clockReading
	sentStart bool
	// startUnconfirmed is true if an order to start got no answer and may be carried out late.
	startUnconfirmed bool
	// reported is true once the worker's known incarnation has listed the run, or has answered the order to start it.
	// Until then the run may be on a later incarnation.
	reported bool
	// formerLeaseEnd is until when the run waits for an answer of its worker, if an earlier incarnation is known to have had
	// it, and no later one can have it; else zero.
	formerLeaseEnd time.Time
	// unansweredStep is the machine's step in which the last order to start the run was given up without
	// an answer; 0 if none was. A poll sent later shows whether the worker has carried it out.
	unansweredStep uint64
	attempts       int
	retryAt        time.Time
	// confirmedStep is the machine's step in which an answer confirmed the start or the stop; 0
	// without a confirmation. A poll sent later shows for certain whether the run is active.
	confirmedStep uint64
	startedAt     time.Time

	// isolated is true if nothing else was started on the worker just before and after the run.
	isolated bool
	// harmless is true if the run can't be the cause of a crash: an earlier holder started it and its
	// worker has reported it, or an earlier incarnation was seen alive long enough after its start.
	harmless bool
	// unread is set while the run's workflow may be stored and unread.
	unread *unreadRun
	// loss is set if an earlier incarnation, which had the run, is over.
	loss *lostRun

	percent   int
	percentAt time.Time
	// firstPercent is the progress at which the run began, from the checkpoint that it resumed.
	firstPercent int
	tailLatency  endive.Interval
}

// runState is a stage in the processing of a run.
type runState int

const (
	runStarting runState = iota
	runRunning
	runStopping
)

// runsPerEpoch is the size of the range of run numbers of each epoch, so that run numbers
// rise over takeovers.
const runsPerEpoch = 1_000_000

// maxStartsPerEpoch is the number of starts after which a holder ends its tenure, so that the next one begins an
// epoch with new run numbers. It leaves room for the starts of one scheduling pass.
const maxStartsPerEpoch = runsPerEpoch - 50_000

// startInFlight reports whether an order to start the run has no answer yet.
func (r *run) startInFlight() bool { return r.inFlight && r.sentStart }

// nextRun returns a run number that is higher than all earlier ones of the tasks.
func (m *Machine) nextRun(tasks ...*task) endive.RunNumber {
	m.startCount++
	next := endive.RunNumber(int64(m.tenure.epoch)*runsPerEpoch + m.startCount)
	for _, t := range tasks {
		next = max(next, t.lastRun+1)
	}
	return next
}

// addRun adds a task's current run to a worker and allocates its resources.
func (m *Machine) addRun(w *worker, t *task, n endive.RunNumber, state runState) *run {
	r := &run{task: t, id: t.id, number: n, worker: w, sentTo: w.incarnations, state: state, startedAt: m.now, percentAt: m.now}
	if t.state == taskWaiting {
		t.state = taskPlaced
		t.step.waiting--
	}
	t.run, t.crashes.unjudged = r, nil
	if t.checkpoint != "" {
		r.percent, r.firstPercent = t.savedPercent, t.savedPercent
	}
	t.lastRun = max(t.lastRun, n)
	t.step.runsPerWorker[w.id]++
	if t.step.startedAt.IsZero() {
		t.step.startedAt = m.now
	}
	w.countRun(t.step.spec, 1)
	m.allocate(r, t)
	return r
}

// allocate allocates a run's resources on its worker and in its account's allowance. t is the task
// whose run it is or was; nil if it isn't known.
func (m *Machine) allocate(r *run, t *task) {
	w := r.worker
	if t == nil {
		// The run's resources are unknown. It can't be larger than the worker has ever been.
		r.need = w.largestCapacity
	} else {
		r.need = t.step.spec.Reserved()
		r.spec, r.account = t.step.spec, t.step.occ.job.account
	}
	w.used = w.used.Add(r.need)
	w.runs[r.id] = r
	m.quotas.count(r, 1)
}

// countRun updates the numbers of serving and of opportunistic runs on the worker.
func (w *worker) countRun(spec *endive.Step, delta int) {
	if spec.Serves() {
		w.serving += delta
	}
	if spec.Opportunistic {
		w.opportunistic += delta
	}
}

// removeRun removes a run and frees its resources. Its task can start again unless it has
// succeeded.
func (m *Machine) removeRun(r *run) {
	w := r.worker
	if w.isolation.soleRun == r {
		w.isolation.soleRun = nil
	}
	delete(w.runs, r.id)
	w.used = w.used.Sub(r.need)
	m.quotas.count(r, -1)
	m.quotas.due = true
	m.passDue = true
	if r.orphanOf != nil {
		r.orphanOf.orphans--
	}
	t := r.task
	if t == nil {
		return
	}
	w.countRun(t.step.spec, -1)
	t.step.runsPerWorker[w.id]--
	if t.step.runsPerWorker[w.id] == 0 {
		delete(t.step.runsPerWorker, w.id)
	}
	m.removePending(t, r.number)
	if t.run != r {
		return
	}
	t.run = nil
	t.savedPercent = r.percent
	if t.state == taskPlaced {
		t.state = taskWaiting
		t.step.waiting++
		r.recordLateStart()
	}
	m.removeIfEnded(t.step.occ.job)
}

// dropRuns removes runs of a worker that have surely ended. The worker will never report how.
func (m *Machine) dropRuns(w *worker, runs []*run, reason string) {
	lost := m.lostRuns(w, runs)
	for _, r := range runs {
		m.logLost(r, reason)
		m.removeRun(r)
	}
	m.recordLoss(w, lost)
}

// startRun orders a task to start on a worker under a run number.
func (m *Machine) startRun(t *task, w *worker, n endive.RunNumber, reason string) {
	previous := t.lastRun
	r := m.addRun(w, t, n, runStarting)
	t.step.occ.job.lastStart = m.now
	switch {
	case t.crashes.suspected() && !t.step.spec.Gang:
		m.isolate(r)
	case t.step.lateSuspected():
		m.keepAloneAfterStart(r)
	}
	m.logDecision(Decision{Kind: DecisionStart, Job: t.step.occ.job.id, Task: t.id, Run: n, Worker: w.id, Outcome: "ordered", Reason: reason, PreviousRun: previous})
	m.sendStart(r)
	if len(w.runs) > 1 {
		m.pollNow(w)
	}
}

// fullPercent is the progress of a run that has completed its work.
const fullPercent = 100

// findRun returns the run that an answer belongs to; nil if it was removed.
func (m *Machine) findRun(id endive.WorkerID, task endive.TaskID, n endive.RunNumber) *run {
	w := m.workers[id]
	if w == nil {
		return nil
	}
	return w.findRun(task, n)
}

// findRun returns the run of a task with the given number on the worker; nil if there is none.
func (w *worker) findRun(task endive.TaskID, n endive.RunNumber) *run {
	r := w.runs[task]
	if r == nil || r.number != n {
		return nil
	}
	return r
}

// recordSent records that an order is sent now, to start the run or to stop it.
func (r *run) recordSent(now time.Time, start bool) {
	r.inFlight, r.sentStart, r.sentTo, r.sentAt, r.sentClock = true, start, r.worker.incarnations, now, r.worker.clock
	r.sentEpochs = r.worker.epochsUsed()
}

// readClock records the worker's clock in the answer to an order of the run, if the answer is surely from the known
// incarnation: the clock of an earlier or a later one says nothing of this one's.
func (r *run) readClock(clock endive.WorkerTime, now time.Time) {
	if r.answeredByKnown(clock, now) {
		r.worker.updateClock(clockReading{workerTime: clock, requestedAt: r.sentAt, receivedAt: now})
	}
}

// updateClock records a reading of the worker's clock unless it is older than the last one.
func (w *worker) updateClock(reading clockReading) {
	if reading.workerTime > 0 && reading.workerTime >= w.clock.workerTime {
		w.clock = reading
	}
}
