package place

import (
	"time"

	"endiveroute.example/endive"
)

// dispatch sends a command to each worker that has something to be told and
// none in flight.
func (m *Machine) dispatch() {
	touched := m.workers.touched
	m.workers.touched = nil
	for _, w := range touched {
		w.touched = false
		m.command(w)
	}
}

// command sends one command, unless there is nothing to tell.
func (m *Machine) command(w *worker) {
	if w.flight != nil || w.shutOut || w.address == "" {
		return
	}
	if len(w.starts) > 0 && (!w.known || !m.mayStart()) {
		starts := w.starts
		w.starts = nil
		m.returnStarts(w, starts)
	}
	ask := !w.known && !m.now.Before(w.askAt) && !m.releasing
	poll := w.known && !m.now.Before(w.pollAt) && (w.stopping() || m.waiting > 0 && w.mayEnd(m.now))
	var renew []endive.AttemptID
	if ask || poll || !m.now.Before(w.renewAt) {
		renew = m.renewals(w)
	}
	if !ask && !poll && len(renew) == 0 && (!w.known || len(w.starts)+len(w.stops)+len(w.forgets) == 0) {
		return
	}
	m.send(w, renew)
}

// renewals lists the attempts whose lease goes on. Without a slice lease,
// exclusive tasks are renewed for a bounded time only, because a new holder
// counts on their end.
func (m *Machine) renewals(w *worker) []endive.AttemptID {
	if !w.known && !m.now.Before(w.silentAt) {
		return nil
	}
	graceAt := m.settings.OutageGrace.After(m.lease.ExpiresAt)
	var renew []endive.AttemptID
	for _, a := range w.attempts {
		if a.renewable() && (!a.exclusive() || m.now.Before(graceAt)) {
			renew = append(renew, a.id)
		}
	}
	return renew
}

// send emits the command with all that waits for it.
func (m *Machine) send(w *worker, renew []endive.AttemptID) {
	m.commandsSent++
	sequence := m.commandsSent
	w.pollAt = m.now.Add(pollEvery)
	if w.known {
		w.silentAt = m.now.Add(silenceLimit)
	} else {
		w.askAt = m.now.Add(askEvery)
	}
	deadline := m.settings.CommandTimeout.After(m.now)
	w.flight = &flight{sequence: sequence, deadline: deadline, starts: w.starts, stops: w.stops, forgets: w.forgets}
	w.starts, w.stops, w.forgets = nil, nil, nil
	command := endive.WorkerCommand{
		Slice: m.slice.ID, Epoch: m.lease.Epoch, Sequence: sequence,
		LeaseMillis: time.Duration(m.settings.TaskLease).Milliseconds(),
		Renew:       renew, Forget: w.flight.forgets,
	}
	for _, a := range w.flight.starts {
		a.state, a.started = attemptSent, m.now
		a.expected = m.now.Add(m.expected(a.job))
		if a.job.Priority < endive.PriorityUrgent {
			m.lower++
		}
		command.Start = append(command.Start, endive.StartTask{
			Task: a.task, Attempt: a.id, JobName: a.job.Name, Need: a.need,
			Payload: a.job.Payload, Resume: a.job.resume[a.index],
		})
	}
	for _, a := range w.flight.stops {
		a.stopSent = true
		command.Stop = append(command.Stop, endive.StopTask{Attempt: a.id, Checkpoint: a.checkpoint})
	}
	if len(renew) > 0 {
		w.renewAt = m.settings.RenewEvery.After(m.now)
	}
	if len(renew) > 0 || len(command.Start) > 0 {
		if lapse := m.lapse(m.now); lapse.After(w.lapseAt) {
			w.lapseAt = lapse
		}
	}
	m.emit(Command{Worker: w.id, Address: w.address, Deadline: deadline, Command: command})
}

// returnStarts puts tasks back in line that were certainly not started.
func (m *Machine) returnStarts(w *worker, starts []*attempt) {
	for _, a := range starts {
		if w.byID[a.id] == a {
			m.unplace(a)
		}
	}
}

// stop tells the worker to end an attempt. One that wasn't sent ends at once.
func (m *Machine) stop(a *attempt, why stopReason) {
	w := a.worker
	if a.stopFor != stopNone {
		return
	}
	if a.state < attemptSent {
		m.unplace(a)
		return
	}
	a.stopFor = why
	a.checkpoint = a.job != nil && a.job.Checkpoints && (why == stopPreempt || why == stopRegroup)
	if why == stopPreempt {
		w.freeing = w.freeing.Add(a.need)
	}
	w.stops = append(w.stops, a)
	m.workers.touch(w)
}
