package flow

import (
	"strconv"
	"time"

	"endiveroute.example/endive"
)

// run is one start of a task on a worker, from its order until its end is listed
// or certain.
type run struct {
	// task is nil for what runs there of an unknown workflow.
	task   *task
	id     endive.TaskID
	number endive.RunNumber
	worker *worker
	need   endive.Resources
	state  runState
	// inFlight says that an order about the run has no answer yet.
	inFlight bool
	// startUnconfirmed says that an order to start was lost and may be carried out late.
	startUnconfirmed bool
	attempts         int
	retryAt          time.Time
	// confirmedStep is the step of the answer after which a look tells for certain
	// whether the run is there; 0 before.
	confirmedStep uint64
	startedAt     time.Time

	percent   int
	percentAt time.Time
	// firstPercent is where the run began: what it resumes from isn't its own
	// progress.
	firstPercent int
	tailLatency  endive.Interval
}

// runState says how far a run is.
type runState int

const (
	runStarting runState = iota
	runRunning
	runStopping
)

// runsPerEpoch leaves each epoch room for its own run numbers, so that they rise
// over takeovers.
const runsPerEpoch = 1_000_000

// nextRun returns a run number that is higher than all before.
func (m *Machine) nextRun(tasks ...*task) endive.RunNumber {
	m.startCount++
	next := endive.RunNumber(int64(m.tenure.epoch)*runsPerEpoch + m.startCount)
	for _, t := range tasks {
		next = max(next, t.lastRun+1)
	}
	return next
}

// addRun takes a worker's room for a run.
func (m *Machine) addRun(w *worker, t *task, id endive.TaskID, n endive.RunNumber, state runState) *run {
	r := &run{task: t, id: id, number: n, worker: w, state: state, startedAt: m.now, percentAt: m.now}
	if t == nil {
		// What it takes isn't known, so nothing is started beside it.
		r.need = w.info.Capacity
	} else {
		r.need = t.step.spec.Reserved()
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
	}
	w.used = w.used.Add(r.need)
	w.runs[id] = r
	return r
}

// countRun keeps the number of runs that serve and that are opportunistic.
func (w *worker) countRun(spec *endive.Step, delta int) {
	if spec.Serves() {
		w.serving += delta
	}
	if spec.Opportunistic {
		w.opportunistic += delta
	}
}

// removeRun gives a worker's room back. The task can start again unless it has
// ended.
func (m *Machine) removeRun(r *run) {
	w := r.worker
	delete(w.runs, r.id)
	w.used = w.used.Sub(r.need)
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

// dropRuns gives up all runs of a worker, which have surely ended unrecorded.
func (m *Machine) dropRuns(w *worker, reason string) {
	for _, r := range w.sortedRuns() {
		m.logDecision(Decision{Kind: DecisionEnd, Task: r.id, Run: r.number, Worker: w.id, Outcome: "lost", Reason: reason})
		m.removeRun(r)
	}
}

// startRun orders a task to start on a worker under a run number.
func (m *Machine) startRun(t *task, w *worker, n endive.RunNumber, reason string) {
	r := m.addRun(w, t, t.id, n, runStarting)
	m.logDecision(Decision{Kind: DecisionStart, Job: t.step.occ.job.id, Task: t.id, Run: n, Worker: w.id, Outcome: "ordered", Reason: reason})
	m.sendStart(r)
	if w.poll.nextAt.After(m.now) {
		w.poll.nextAt = m.now
	}
	m.markChanged(w)
}

func (m *Machine) sendStart(r *run) {
	t, w := r.task, r.worker
	r.inFlight = true
	r.attempts++
	m.emit(StartRun{Order: endive.StartOrder{
		Worker: w.ref(), Task: r.id, Run: r.number, Payload: t.step.occ.job.spec.Payload,
		LeaseEnd: m.newLeaseEnd(w), Epoch: m.tenure.epoch, Resume: t.checkpoint,
		Ticket: t.step.tickets.ticketFor(w.id),
	}, SendBy: endive.Earliest(m.tenure.leaseEnd, m.now.Add(maxSendDelay))})
}

// maxSendDelay is how long an order to start may take to be sent.
const maxSendDelay = time.Second

// handleStartResult takes in the answer to an order to start.
func (m *Machine) handleStartResult(e StartResult) {
	r := m.findRun(e.Worker, e.Task, e.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	m.markChanged(r.worker)
	r.worker.updateClock(e.Answer.Clock, m.now)
	if e.Result == OrderAnswered && r.attempts == 1 && r.state == runStarting {
		r.worker.recordRoundTrip(m.now.Sub(r.startedAt))
	}
	if e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalNone {
		m.confirmRun(r)
		if r.state == runStopping {
			// It was to be stopped while its start was on its way.
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
		Reason: reason + ", try " + strconv.Itoa(r.attempts)})
	if e.Result == OrderUnknown {
		r.startUnconfirmed = true
	}
	m.handleStartFailure(r, e)
}

// confirmRun notes that a run is there.
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

// handleStartFailure decides what becomes of a run whose order to start wasn't carried
// out, or may not have been.
func (m *Machine) handleStartFailure(r *run, e StartResult) {
	if r.state == runStopping {
		m.sendStop(r)
		return
	}
	t, w := r.task, r.worker
	// After a pause the pool may be another entry's, and a worker that has started
	// anew knows no epoch that would keep this order out. Nor is its clock known
	// then, which a lease needs.
	retry := r.attempts < maxStartAttempts && m.mayStart() && w.adopted
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
		// It may have ended already; the next look tells.
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
		m.stopRun(r, "its start may have been lost")
	} else {
		m.removeRun(r)
	}
	m.abortGang(t.step, "a member could not be started")
}

// refusalPause is how long a worker that refused a start is left alone.
const refusalPause = 500 * time.Millisecond

// fullPercent is the progress of a run whose work is done.
const fullPercent = 100

// findRun returns the run that an answer is about, if it is still of interest.
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

// updateClock takes in a reading of the worker's clock.
func (w *worker) updateClock(clock endive.WorkerTime, now time.Time) {
	if clock > 0 && clock >= w.clock.workerTime {
		w.clock = clockReading{workerTime: clock, receivedAt: now}
	}
}
