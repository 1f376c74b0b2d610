package flow

import (
	"strconv"
	"time"

	"endiveroute.example/endive"
)

func (m *Machine) sendStart(r *run) {
	t, w := r.task, r.worker
	r.recordSent(m.now, true)
	r.attempts++
	m.emit(StartRun{Order: endive.StartOrder{
		Worker: w.ref(), Task: r.id, Run: r.number, Payload: t.step.occ.job.spec.Payload,
		LeaseEnd: m.newLeaseEnd(w), Epoch: m.epochFor(w), Resume: t.resume(),
		Ticket: t.step.tickets.ticketFor(w.id),
	}, SendBy: m.sendBy()})
}

// resume returns the checkpoint with which a task starts.
func (t *task) resume() endive.Checkpoint {
	if t.step.spec.Gang {
		return t.step.gang.resume
	}
	return t.checkpoint
}

// maxSendDelay is how long an order to start may take to be sent.
const maxSendDelay = time.Second

// handleStartResult processes the answer to an order to start. A run without an order in flight was adopted, and the
// order was that of an earlier tenure.
func (m *Machine) handleStartResult(e StartResult) {
	m.recordStartCall(e)
	r := m.findRun(e.Worker, e.Task, e.Run)
	if r == nil || !r.inFlight {
		return
	}
	r.inFlight = false
	m.pollNow(r.worker)
	m.logLaterIncarnation(r, e.Answer.Clock)
	r.reported = r.reported || e.Result == OrderAnswered && r.answeredByKnown(e.Answer.Clock, m.now)
	r.readClock(e.Answer.Clock, m.now)
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
	if e.Result == OrderAnswered && e.Answer.Refused == endive.RefusalEpoch && m.handleRefusedEpoch(r) {
		return
	}
	if r.state == runRunning {
		// A poll has shown the run meanwhile: whatever came of an order that was repeated, it runs, and the
		// next polls show how it goes on.
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
	retry := r.attempts < maxStartAttempts && m.mayStart() && w.answered() && w.holdsItsRuns()
	switch {
	case e.Result == OrderUnknown:
		if retry {
			m.sendStart(r)
			return
		}
		if !t.step.spec.Gang {
			// The worker may have started it, and only the answers are late: the next poll shows it.
			r.unansweredStep = m.stepCount
			return
		}
	case e.Result == OrderNotSent, e.Result == OrderRefused:
		w.health.avoidUntil = m.now.Add(refusalPause)
		w.poll.nextAt = m.now
	case (e.Answer.Refused == endive.RefusalLeaseExpired || e.Answer.Refused == endive.RefusalEpoch) && retry:
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
