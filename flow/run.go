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
	// uncertain says that an order to start was lost and may be carried out late.
	uncertain bool
	tries     int
	retryAt   time.Time
	// settled is the step of the answer after which a look tells for certain
	// whether the run is there; 0 before.
	settled uint64
	began   time.Time

	percent   int
	percentAt time.Time
	// firstPercent is where the run began: what it resumes from isn't its own
	// progress.
	firstPercent int
	tail         endive.Interval
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
	m.startsMade++
	next := endive.RunNumber(int64(m.tenure.epoch)*runsPerEpoch + m.startsMade)
	for _, t := range tasks {
		next = max(next, t.lastRun+1)
	}
	return next
}

// addRun takes a worker's room for a run.
func (m *Machine) addRun(w *worker, t *task, id endive.TaskID, n endive.RunNumber, state runState) *run {
	r := &run{task: t, id: id, number: n, worker: w, state: state, began: m.now, percentAt: m.now}
	if t == nil {
		// What it takes isn't known, so nothing is started beside it.
		r.need = w.self.Capacity
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
		t.step.perWorker[w.id]++
		if t.step.began.IsZero() {
			t.step.began = m.now
		}
		w.count(t.step.spec, 1)
	}
	w.used = w.used.Add(r.need)
	w.runs[id] = r
	return r
}

// count keeps the number of runs that serve and that are opportunistic.
func (w *worker) count(spec *endive.Step, by int) {
	if spec.Serves() {
		w.serving += by
	}
	if spec.Opportunistic {
		w.filling += by
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
	w.count(t.step.spec, -1)
	t.step.perWorker[w.id]--
	if t.step.perWorker[w.id] == 0 {
		delete(t.step.perWorker, w.id)
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
	m.release(t.step.occ.job)
}

// loseRuns gives up all runs of a worker, which have surely ended unrecorded.
func (m *Machine) loseRuns(w *worker, reason string) {
	for _, r := range w.sortedRuns() {
		m.note(Decision{Kind: DecisionEnd, Task: r.id, Run: r.number, Worker: w.id, Outcome: "lost", Reason: reason})
		m.removeRun(r)
	}
}

// startRun orders a task to start on a worker under a run number.
func (m *Machine) startRun(t *task, w *worker, n endive.RunNumber, reason string) {
	r := m.addRun(w, t, t.id, n, runStarting)
	m.note(Decision{Kind: DecisionStart, Job: t.step.occ.job.id, Task: t.id, Run: n, Worker: w.id, Outcome: "ordered", Reason: reason})
	m.sendStart(r)
	if w.hold.again.After(m.now) {
		w.hold.again = m.now
	}
	m.touchWorker(w)
}

func (m *Machine) sendStart(r *run) {
	t, w := r.task, r.worker
	r.inFlight = true
	r.tries++
	m.emit(StartRun{Order: endive.StartOrder{
		Worker: w.ref(), Task: r.id, Run: r.number, Payload: t.step.occ.job.spec.Payload,
		LeaseEnd: m.leaseEnd(w), Epoch: m.tenure.epoch, Resume: t.checkpoint,
		Ticket: t.step.tickets.of(w.id),
	}, SendBy: endive.Earliest(m.tenure.until, m.now.Add(sendTime))})
}

// sendTime is how long an order to start may take to be sent.
const sendTime = time.Second

// started takes in the answer to an order to start.
func (m *Machine) started(e StartResult) {
	r := m.runOf(e.Worker, e.Task, e.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	m.touchWorker(r.worker)
	r.worker.read(e.Answer.Clock, m.now)
	if e.Result == OrderAnswered && r.tries == 1 && r.state == runStarting {
		r.worker.tookWay(m.now.Sub(r.began))
	}
	if e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalNone {
		m.confirm(r)
		if r.state == runStopping {
			// It was to be stopped while its start was on its way.
			m.sendStop(r)
		}
		return
	}
	if e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalEpoch {
		m.fenced("worker " + string(e.Worker))
		return
	}
	reason := string(e.Result)
	if e.Result == OrderAnswered {
		reason = string(e.Answer.Refused)
	}
	m.note(Decision{Kind: DecisionStart, Task: r.id, Run: r.number, Worker: e.Worker, Outcome: "not confirmed",
		Reason: reason + ", try " + strconv.Itoa(r.tries)})
	if e.Result == OrderUnknown {
		r.uncertain = true
	}
	m.startFailed(r, e)
}

// confirm notes that a run is there.
func (m *Machine) confirm(r *run) {
	r.settled = m.steps
	r.uncertain = false
	if r.state == runStarting {
		r.state = runRunning
		r.began, r.percentAt = m.now, m.now
	}
	j := r.task.step.occ.job
	if !j.begun {
		j.begun = true
		if !j.state.Ended() {
			j.state = endive.WorkflowRunning
			m.tell(j)
			m.touch(j, rowLazy)
		}
	}
	m.gangConfirmed(r)
}

// startFailed decides what becomes of a run whose order to start wasn't carried
// out, or may not have been.
func (m *Machine) startFailed(r *run, e StartResult) {
	if r.state == runStopping {
		m.sendStop(r)
		return
	}
	t, w := r.task, r.worker
	// After a pause the pool may be another entry's, and a worker that has started
	// anew knows no epoch that would keep this order out. Nor is its clock known
	// then, which a lease needs.
	again := r.tries < startTries && m.mayStart() && w.adopted
	switch {
	case e.Result == OrderUnknown:
		if again {
			m.sendStart(r)
			return
		}
	case e.Result == OrderNotSent, e.Result == OrderRefused:
		w.health.avoidUntil = m.now.Add(refusedPause)
		w.hold.again = m.now
	case e.Answer.Refused == endive.RefusalLate && again:
		m.sendStart(r)
		return
	case e.Answer.Refused == endive.RefusalOldRun:
		// It may have ended already; the next look tells.
		r.settled = m.steps
		r.uncertain = false
		r.state = runRunning
		return
	case e.Answer.Refused == endive.RefusalTicket:
		t.step.tickets.drop(w.id)
	case e.Answer.Refused == endive.RefusalRoom, e.Answer.Refused == endive.RefusalUnhealthy:
		w.health.avoidUntil = m.now.Add(refusedPause)
	case e.Answer.Refused == endive.RefusalIncarnation:
		w.stale = true
	default:
		t.notBefore = m.now.Add(refusedPause)
		t.avoid = w.id
	}
	if r.uncertain {
		m.stopRun(r, "its start may have been lost")
	} else {
		m.removeRun(r)
	}
	m.gangBroken(t.step, "a member could not be started")
}

// refusedPause is how long a worker that refused a start is left alone.
const refusedPause = 500 * time.Millisecond

// fullPercent is the progress of a run whose work is done.
const fullPercent = 100

// runOf returns the run that an answer is about, if it is still of interest.
func (m *Machine) runOf(id endive.WorkerID, task endive.TaskID, n endive.RunNumber) *run {
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

// read takes in a reading of the worker's clock.
func (w *worker) read(clock endive.WorkerTime, now time.Time) {
	if clock > 0 && clock >= w.clock.at {
		w.clock = clockReading{at: clock, received: now}
	}
}
