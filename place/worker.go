package place

import (
	"time"

	"endiveroute.example/endive"
)

// pendingCommand is the one command that a worker hasn't answered.
type pendingCommand struct {
	sequence uint64
	// deadline is when the answer is given up on.
	deadline time.Time
	starts   []*attempt
	stops    []*attempt
	forgets  []endive.AttemptID
}

// worker is what the holder knows of a worker.
type worker struct {
	id      endive.WorkerID
	address endive.Address
	rack    endive.Rack
	state   endive.MemberState
	drained bool
	// listed is the size in the instance list; size is what may be used, the
	// lower of the listed and the reported one.
	listed endive.Resources
	size   endive.Resources
	// used is committed, tasks of unconfirmed end included.
	used endive.Resources
	// list and index are the worker's place in the table of all.
	list  *workers
	index int
	// claimed is promised to urgent tasks, out of what preempted tasks free.
	claimed endive.Resources
	// preempting is what preempted tasks are going to free.
	preempting endive.Resources
	// reserved is set for a gang that waits.
	reserved bool

	// answered says that the worker has answered this epoch, which shuts the
	// former holder out there; known, that its last command was answered.
	answered   bool
	responsive bool
	// superseded says that the worker has seen a higher epoch.
	superseded bool
	// inRoster says that the table lists the worker as one that may run tasks.
	inRoster bool
	// inPreviousRoster says that the inPreviousRoster holder's roster listed it.
	inPreviousRoster bool

	attempts []*attempt
	byID     map[endive.AttemptID]*attempt
	// reportedEnds are ended attempts that the worker still reports, by the sequence of
	// the last command whose answer listed them.
	reportedEnds map[endive.AttemptID]uint64

	pending    *pendingCommand
	starts     []*attempt
	stops      []*attempt
	forgets    []endive.AttemptID
	commandDue bool
	probeAt    time.Time
	renewAt    time.Time
	pollAt     time.Time
	// renewUntil is when tasks are no longer renewed, unless an answer comes.
	renewUntil time.Time
	// leasesEnd is when every lease that was given here has certainly run out.
	leasesEnd time.Time
	// earlyEnds are reports that came before the jobs were loaded.
	earlyEnds []endive.TaskReport

	health health
}

// free returns what isn't committed.
func (w *worker) free() endive.Resources { return w.size.Sub(w.used) }

// updateFree corrects the free room in the table of all workers.
func (w *worker) updateFree() { w.list.free[w.index] = w.free() }

// acceptsTasks reports whether the worker may get new tasks.
func (w *worker) acceptsTasks(now time.Time) bool {
	return w.responsive && w.inRoster && !w.superseded && !w.drained && w.state == endive.MemberLive &&
		w.passesQuarantine(now)
}

// hasStoppingTask reports whether a task was told to stop and hasn't ended yet.
func (w *worker) hasStoppingTask() bool {
	for _, a := range w.attempts {
		if a.stopSent {
			return true
		}
	}
	return false
}

// mayHaveEndedTask reports whether a task has run for half of its expected time.
func (w *worker) mayHaveEndedTask(now time.Time) bool {
	for _, a := range w.attempts {
		if a.state >= attemptSent && 2*now.Sub(a.startedAt) >= a.expectedEnd.Sub(a.startedAt) {
			return true
		}
	}
	return false
}

// addAttempt commits the attempt's resources.
func (w *worker) addAttempt(a *attempt) {
	a.worker = w
	w.attempts = append(w.attempts, a)
	w.byID[a.id] = a
	w.used = w.used.Add(a.need)
	w.updateFree()
}

// removeAttempt frees the attempt's resources. Its end must be certain.
func (w *worker) removeAttempt(a *attempt) {
	for i, one := range w.attempts {
		if one == a {
			w.attempts = append(w.attempts[:i], w.attempts[i+1:]...)
			break
		}
	}
	delete(w.byID, a.id)
	w.used = w.used.Sub(a.need)
	w.updateFree()
	if a.stopReason == stopPreempt {
		w.preempting = w.preempting.Sub(a.need)
	}
}

// removeStart takes an attempt out of the next command.
func (w *worker) removeStart(a *attempt) {
	for i, one := range w.starts {
		if one == a {
			w.starts = append(w.starts[:i], w.starts[i+1:]...)
			return
		}
	}
}

// resize takes the lower of the listed and a reported size.
func (w *worker) resize(reported endive.Resources) {
	w.size = endive.Resources{
		Processors:   min(w.listed.Processors, reported.Processors),
		Memory:       min(w.listed.Memory, reported.Memory),
		Accelerators: min(w.listed.Accelerators, reported.Accelerators),
	}
	w.updateFree()
}
