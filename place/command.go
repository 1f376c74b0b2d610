package place

import (
	"time"

	"endiveroute.example/endive"
)

// sendCommands sends a command to each worker that is due for one and has none
// in flight.
func (m *Machine) sendCommands() {
	due := m.workers.commandsDue
	m.workers.commandsDue = nil
	for _, w := range due {
		w.commandDue = false
		m.sendCommandIfDue(w)
	}
}

// sendCommandIfDue sends the worker a command, unless one is in flight or there
// is no reason for one.
func (m *Machine) sendCommandIfDue(w *worker) {
	if w.pending != nil || w.superseded || w.address == "" {
		return
	}
	if len(w.starts) > 0 && (!w.responsive || !m.mayStart()) {
		starts := w.starts
		w.starts = nil
		m.requeueStarts(w, starts)
	}
	probe := !w.responsive && !m.now.Before(w.probeAt) && !m.handingOver
	poll := w.responsive && !m.now.Before(w.pollAt) && (w.hasStoppingTask() || m.waitingTasks > 0 && w.mayHaveEndedTask(m.now))
	var renew []endive.AttemptID
	if probe || poll || !m.now.Before(w.renewAt) {
		renew = m.renewals(w)
	}
	if !probe && !poll && len(renew) == 0 && (!w.responsive || len(w.starts)+len(w.stops)+len(w.forgets) == 0) {
		return
	}
	m.sendCommand(w, renew)
}

// renewals returns the attempts whose leases the next command renews. Without a
// slice lease, exclusive tasks are renewed for OutageGrace only: a new holder
// relies on these tasks having ended after that.
func (m *Machine) renewals(w *worker) []endive.AttemptID {
	if !w.responsive && !m.now.Before(w.renewUntil) {
		return nil
	}
	graceEnd := m.settings.OutageGrace.After(m.lease.ExpiresAt)
	var renew []endive.AttemptID
	for _, a := range w.attempts {
		if a.renewable() && (!a.exclusive() || m.now.Before(graceEnd)) {
			renew = append(renew, a.id)
		}
	}
	return renew
}

// sendCommand emits a command with the worker's queued starts, stops and
// forgets, and with the given renewals.
func (m *Machine) sendCommand(w *worker, renew []endive.AttemptID) {
	m.commandCount++
	sequence := m.commandCount
	w.pollAt = m.now.Add(pollInterval)
	if w.responsive {
		w.renewUntil = m.now.Add(silenceTimeout)
	} else {
		w.probeAt = m.now.Add(probeInterval)
	}
	deadline := m.settings.CommandTimeout.After(m.now)
	w.pending = &pendingCommand{sequence: sequence, deadline: deadline, starts: w.starts, stops: w.stops, forgets: w.forgets}
	w.starts, w.stops, w.forgets = nil, nil, nil
	command := endive.WorkerCommand{
		Slice: m.slice.ID, Epoch: m.lease.Epoch, Sequence: sequence,
		LeaseMillis: time.Duration(m.settings.TaskLeaseDuration).Milliseconds(),
		Renew:       renew, Forget: w.pending.forgets,
	}
	for _, a := range w.pending.starts {
		a.state, a.startedAt = attemptSent, m.now
		a.expectedEnd = m.now.Add(m.expectedRunTime(a.job))
		if a.job.Priority < endive.PriorityUrgent {
			m.preemptibleVersion++
		}
		command.Start = append(command.Start, endive.StartTask{
			Task: a.task, Attempt: a.id, JobName: a.job.Name, Need: a.need,
			Payload: a.job.Payload, Resume: a.job.checkpointed[a.index],
		})
	}
	for _, a := range w.pending.stops {
		a.stopSent = true
		command.Stop = append(command.Stop, endive.StopTask{Attempt: a.id, Checkpoint: a.checkpoint})
	}
	if len(renew) > 0 {
		w.renewAt = m.settings.RenewInterval.After(m.now)
	}
	if len(renew) > 0 || len(command.Start) > 0 {
		if leasesEnd := m.leaseEnd(m.now); leasesEnd.After(w.leasesEnd) {
			w.leasesEnd = leasesEnd
		}
	}
	m.emit(Command{Worker: w.id, Address: w.address, Deadline: deadline, Command: command})
}

// requeueStarts queues tasks again whose start was certainly not delivered.
func (m *Machine) requeueStarts(w *worker, starts []*attempt) {
	for _, a := range starts {
		if w.byID[a.id] == a {
			m.undoPlacement(a)
		}
	}
}

// stopAttempt has the worker stop an attempt. An attempt whose start wasn't
// sent yet is withdrawn at once.
func (m *Machine) stopAttempt(a *attempt, reason stopReason) {
	w := a.worker
	if a.stopReason != stopNone {
		return
	}
	if a.state < attemptSent {
		m.undoPlacement(a)
		return
	}
	a.stopReason = reason
	a.checkpoint = a.job != nil && a.job.Checkpoints && (reason == stopPreempt || reason == stopGangRestart)
	if reason == stopPreempt {
		w.preempting = w.preempting.Add(a.need)
	}
	w.stops = append(w.stops, a)
	m.workers.markCommandDue(w)
}
