package runner

import (
	"sort"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/fault"
)

// commandNumber orders the commands for a slice: by epoch, then by sequence.
type commandNumber struct {
	epoch    endive.Epoch
	sequence uint64
}

// Worker simulates a worker, which runs tasks under leases and measures the
// leases on its own clock. It is safe for concurrent use.
type Worker struct {
	id      endive.WorkerID
	size    endive.Resources
	target  fault.Target
	faults  *fault.Set
	journal *Journal
	clock   endive.Clock

	mu sync.Mutex
	// startTime is the zero point of the worker's clock.
	startTime time.Time
	// lastCommands contains the number of the newest applied command of each slice.
	lastCommands map[endive.SliceID]commandNumber
	attempts     map[endive.AttemptID]*attempt
	used         endive.Resources
}

// NewWorker returns a worker without tasks and registers it with journal.
func NewWorker(target fault.Target, size endive.Resources, faults *fault.Set, journal *Journal, clock endive.Clock) *Worker {
	w := &Worker{
		id:           endive.WorkerID(target.Instance),
		size:         size,
		target:       target,
		faults:       faults,
		journal:      journal,
		clock:        clock,
		startTime:    clock.Now(),
		lastCommands: make(map[endive.SliceID]commandNumber),
		attempts:     make(map[endive.AttemptID]*attempt),
	}
	journal.addWorker(w.id, size)
	return w
}

// Command applies a command that was received at now, or refuses it, and returns
// the worker's report. A repeated command only returns the report.
func (w *Worker) Command(command endive.WorkerCommand, now time.Time) endive.WorkerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueAttempts(now)
	w.journal.updateWorker(w.id, func(c *WorkerCount) { c.Commands++ })
	last := w.lastCommands[command.Slice]
	refused := w.refusalReason(last, command)
	if next := (commandNumber{command.Epoch, command.Sequence}); refused == "" && next != last {
		w.lastCommands[command.Slice] = next
		w.apply(command, now)
	}
	_, leaving := w.faults.On(w.target, fault.Leaving)
	return endive.WorkerReport{
		Worker:  w.id,
		Epoch:   w.lastCommands[command.Slice].epoch,
		Refused: refused,
		Leaving: leaving,
		Size:    w.size,
		Tasks:   w.reports(now),
	}
}

// refusalReason returns why a command is refused, or an empty string.
func (w *Worker) refusalReason(last commandNumber, command endive.WorkerCommand) string {
	switch {
	case command.Epoch < last.epoch:
		w.journal.updateWorker(w.id, func(c *WorkerCount) { c.LowEpoch++ })
		return "the command's epoch is outdated: a command of a higher epoch was applied"
	case command.Epoch == last.epoch && command.Sequence < last.sequence:
		w.journal.updateWorker(w.id, func(c *WorkerCount) { c.LowSequence++ })
		return "a command with a higher sequence number was applied"
	}
	return ""
}

func (w *Worker) apply(command endive.WorkerCommand, now time.Time) {
	leaseEnd := now.Add(time.Duration(command.LeaseMillis) * time.Millisecond)
	for _, id := range command.Forget {
		if a := w.attempts[id]; a != nil && a.state != endive.TaskRunning {
			delete(w.attempts, id)
		}
	}
	for _, id := range command.Renew {
		if a := w.attempts[id]; a != nil {
			a.leaseEnd = leaseEnd
		}
	}
	for _, stop := range command.Stop {
		w.stopTask(stop, now)
	}
	for _, start := range command.Start {
		w.startTask(start, now, leaseEnd)
	}
}

func (w *Worker) stopTask(stop endive.StopTask, now time.Time) {
	a := w.attempts[stop.Attempt]
	if a == nil || a.state != endive.TaskRunning {
		return
	}
	state := endive.TaskStopped
	if stop.Checkpoint {
		state = endive.TaskCheckpointed
	}
	w.endAttempt(a, state, "stopped by a command", now)
}

// startTask starts an attempt, unless it was already started. An attempt that
// exceeds the worker's free capacity fails at once.
func (w *Worker) startTask(start endive.StartTask, now, leaseEnd time.Time) {
	if w.attempts[start.Attempt] != nil {
		return
	}
	a := &attempt{start: start, payload: parsePayload(start.Payload), startTime: now, leaseEnd: leaseEnd}
	w.attempts[start.Attempt] = a
	used := w.used.Add(start.Need)
	if !used.Fits(w.size) || start.Need.Negative() {
		w.journal.updateWorker(w.id, func(c *WorkerCount) { c.OverSize++ })
		a.state, a.reason = endive.TaskFailed, "exceeds the worker's size"
		return
	}
	if _, leaving := w.faults.On(w.target, fault.Leaving); leaving {
		w.journal.updateWorker(w.id, func(c *WorkerCount) { c.StartsLeaving++ })
	}
	w.used = used
	a.state = endive.TaskRunning
	progress := w.journal.recordStart(w.id, start.Task, start.Need)
	if start.Resume {
		a.earlierRunTime = progress
	}
	if _, fails := w.faults.Hit(w.target, fault.FailAll); fails {
		a.payload = payload{runTime: failAllRunTime, fail: true}
		a.earlierRunTime = 0
	}
	if !a.payload.forever {
		a.endTime = max(a.payload.runTime-a.earlierRunTime, 0).After(now)
	}
}

// endAttempt ends a running attempt.
func (w *Worker) endAttempt(a *attempt, state endive.TaskState, reason string, now time.Time) {
	a.state, a.reason = state, reason
	w.used = w.used.Sub(a.start.Need)
	w.journal.recordEnd(w.id, a.start.Task, a.start.Need, state, a.runTime(now))
}

// EndDueAttempts ends the attempts whose task has ended or whose lease has expired.
func (w *Worker) EndDueAttempts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueAttempts(w.clock.Now())
}

func (w *Worker) endDueAttempts(now time.Time) {
	for _, a := range w.attempts {
		if a.state != endive.TaskRunning {
			continue
		}
		state, reason := a.stateAt(now)
		if state == endive.TaskRunning {
			continue
		}
		if reason == reasonLeaseExpired {
			w.journal.updateWorker(w.id, func(c *WorkerCount) { c.Lapsed++ })
		}
		w.endAttempt(a, state, reason, now)
	}
}

// reports returns a report for each attempt that no command has forgotten,
// ordered by attempt id.
func (w *Worker) reports(now time.Time) []endive.TaskReport {
	reports := make([]endive.TaskReport, 0, len(w.attempts))
	for _, a := range w.attempts {
		reports = append(reports, a.report(now))
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Attempt < reports[j].Attempt })
	return reports
}
