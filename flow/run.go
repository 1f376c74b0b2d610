package flow

import (
	"strconv"
	"time"

	"endiveroute.example/endive"
)

// run is one attempt to run a task on a worker, from the order to start the task until the
// worker reports the end of the run or the run has certainly ended.
type run struct {
	// task is nil for a run that is to be stopped because it isn't its task's current run.
	task   *task
	id     endive.TaskID
	number endive.RunNumber
	worker *worker
	need   endive.Resources
	// spec and account are those of the run's task; spec is nil if the task isn't known.
	spec    *endive.Step
	account endive.AccountName
	state   runState
	// inFlight is true from sending an order to start or stop the run until the order's answer.
	inFlight bool
	// startUnconfirmed is true if an order to start got no answer and may be carried out late.
	startUnconfirmed bool
	attempts         int
	retryAt          time.Time
	// confirmedStep is the machine's step in which an answer confirmed the start or the stop; 0
	// without a confirmation. A poll sent later shows for certain whether the run is active.
	confirmedStep uint64
	startedAt     time.Time

	// isolated is true if nothing else was started on the worker just before and after the run.
	isolated bool
	// harmless is true if the run can't be the cause of a crash: an earlier holder started it and its
	// worker has reported it, or an earlier incarnation was seen alive long enough after its start.
	// suspect is true if it may have crashed an earlier incarnation.
	harmless, suspect bool

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
	r := &run{task: t, id: t.id, number: n, worker: w, state: state, startedAt: m.now, percentAt: m.now}
	if t.state == taskWaiting {
		t.state = taskPlaced
		t.step.waiting--
	}
	t.run = r
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
	}
	m.removeIfEnded(t.step.occ.job)
}

// dropRuns removes all runs of a worker. They have surely ended, but the worker will never
// report how.
func (m *Machine) dropRuns(w *worker, reason string) {
	suspects := w.suspects()
	for _, r := range w.sortedRuns() {
		m.logDecision(Decision{Kind: DecisionEnd, Task: r.id, Run: r.number, Worker: w.id, Outcome: "lost", Reason: reason})
		m.removeRun(r)
	}
	m.recordCrash(w, suspects)
}

// startRun orders a task to start on a worker under a run number.
func (m *Machine) startRun(t *task, w *worker, n endive.RunNumber, reason string) {
	r := m.addRun(w, t, n, runStarting)
	t.step.occ.job.lastStart = m.now
	if t.crashes.suspected() && !t.step.spec.Gang {
		m.isolate(r)
	}
	m.logDecision(Decision{Kind: DecisionStart, Job: t.step.occ.job.id, Task: t.id, Run: n, Worker: w.id, Outcome: "ordered", Reason: reason})
	m.sendStart(r)
	if len(w.runs) > 1 {
		m.pollNow(w)
	}
}

func (m *Machine) sendStart(r *run) {
	t, w := r.task, r.worker
	r.inFlight = true
	r.attempts++
	m.emit(StartRun{Order: endive.StartOrder{
		Worker: w.ref(), Task: r.id, Run: r.number, Payload: t.step.occ.job.spec.Payload,
		LeaseEnd: m.newLeaseEnd(w), Epoch: m.tenure.epoch, Resume: t.checkpoint,
		Ticket: t.step.tickets.ticketFor(w.id),
	}, SendBy: m.sendBy()})
}

// maxSendDelay is how long an order to start may take to be sent.
const maxSendDelay = time.Second

// handleStartResult processes the answer to an order to start.
func (m *Machine) handleStartResult(e StartResult) {
	r := m.findRun(e.Worker, e.Task, e.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	m.pollNow(r.worker)
	r.worker.updateClock(e.Answer.Clock, m.now)
	if e.Result == OrderAnswered && r.attempts == 1 && r.state == runStarting {
		r.worker.recordRoundTrip(m.now.Sub(r.startedAt))
	}
	if e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalNone {
		m.confirmRun(r)
		if r.state == runStopping {
			// The run was to be stopped while the order to start it was in flight.
			m.sendStop(r)
		}
		return
	}
	if e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalEpoch {
		m.handleFenced("worker " + string(e.Worker))
		return
	}
	reason := string(e.Result)
	if e.Result == OrderAnswered {
		reason = string(e.Answer.Refused)
	}
	m.logDecision(Decision{Kind: DecisionStart, Task: r.id, Run: r.number, Worker: e.Worker, Outcome: "not confirmed",
		Reason: reason + ", attempt " + strconv.Itoa(r.attempts)})
	if e.Result == OrderUnknown {
		r.startUnconfirmed = true
	}
	m.handleStartFailure(r, e)
}

// confirmRun marks a run as confirmed by the worker.
func (m *Machine) confirmRun(r *run) {
	r.confirmedStep = m.stepCount
	r.startUnconfirmed = false
	if r.state == runStarting {
		r.state = runRunning
		r.startedAt, r.percentAt = m.now, m.now
	}
	j := r.task.step.occ.job
	if !j.started {
		j.started = true
		if !j.state.Ended() {
			j.state = endive.WorkflowRunning
			m.publishState(j)
			m.markDirty(j, rowLazy)
		}
	}
	m.checkGangMember(r)
}

// handleStartFailure retries, stops or removes a run whose order to start was refused, wasn't
// delivered or got no answer.
func (m *Machine) handleStartFailure(r *run, e StartResult) {
	if r.state == runStopping {
		m.sendStop(r)
		return
	}
	t, w := r.task, r.worker
	// After a pause of this process, another entry may hold the pool, and a restarted worker
	// has no epoch by which it would refuse this order. The lease couldn't be calculated either,
	// since the clock of a restarted worker hasn't been read.
	retry := r.attempts < maxStartAttempts && m.mayStart() && w.adopted && w.holdsItsRuns()
	switch {
	case e.Result == OrderUnknown:
		if retry {
			m.sendStart(r)
			return
		}
	case e.Result == OrderNotSent, e.Result == OrderRefused:
		w.health.avoidUntil = m.now.Add(refusalPause)
		w.poll.nextAt = m.now
	case e.Answer.Refused == endive.RefusalLeaseExpired && retry:
		m.sendStart(r)
		return
	case e.Answer.Refused == endive.RefusalOldRun:
		// The run may have ended already; the next poll shows it.
		r.confirmedStep = m.stepCount
		r.startUnconfirmed = false
		r.state = runRunning
		return
	case e.Answer.Refused == endive.RefusalTicket:
		t.step.tickets.invalidate(w.id)
	case e.Answer.Refused == endive.RefusalCapacity, e.Answer.Refused == endive.RefusalUnhealthy:
		w.health.avoidUntil = m.now.Add(refusalPause)
	case e.Answer.Refused == endive.RefusalIncarnation:
		w.addressReused = true
	default:
		t.notBefore = m.now.Add(refusalPause)
		t.avoidWorker = w.id
	}
	if r.startUnconfirmed {
		m.stopRun(r, "its start is unconfirmed")
	} else {
		m.removeRun(r)
	}
	m.abortGang(t.step, "a member of the gang could not be started")
}

// refusalPause is the pause before the next start on a worker that refused one, or of a task
// that was refused.
const refusalPause = 500 * time.Millisecond

// fullPercent is the progress of a run that has completed its work.
const fullPercent = 100

// findRun returns the run that an answer belongs to; nil if it was removed.
func (m *Machine) findRun(id endive.WorkerID, task endive.TaskID, n endive.RunNumber) *run {
	w := m.workers[id]
	if w == nil {
		return nil
	}
	r := w.runs[task]
	if r == nil || r.number != n {
		return nil
	}
	return r
}

// updateClock records a reading of the worker's clock unless it is older than the last one.
func (w *worker) updateClock(clock endive.WorkerTime, now time.Time) {
	if clock > 0 && clock >= w.clock.workerTime {
		w.clock = clockReading{workerTime: clock, receivedAt: now}
	}
}
