package place

import (
	"time"

	"endiveroute.example/endive"
)

// pendingCommand is the one command in flight to a worker.
type pendingCommand struct {
	sequence uint64
	// deadline is when the holder stops waiting for the answer.
	deadline time.Time
	starts   []*attempt
	stops    []*attempt
	forgets  []endive.AttemptID
}

// worker is the holder's view of a worker.
type worker struct {
	id      endive.WorkerID
	address endive.Address
	rack    endive.Rack
	state   endive.MemberState
	drained bool
	// listed is the size in the instance list. size is the usable size, the lower
	// of the listed and the reported one.
	listed endive.Resources
	size   endive.Resources
	// used is the sum of the attempts' needs. An attempt counts until it has
	// certainly ended.
	used endive.Resources
	// list holds all workers; index is this worker's index in it.
	list  *workers
	index int
	// claimed is capacity that is promised to urgent tasks, out of what preempted
	// tasks free.
	claimed endive.Resources
	// preempting is the capacity of preempted tasks that haven't ended yet.
	preempting endive.Resources
	// reserved is set if the worker is reserved for a waiting gang.
	reserved bool

	// answered is set once the worker has answered in this epoch and so refuses
	// the previous holder. responsive is set if the worker answered the last
	// command.
	answered   bool
	responsive bool
	// superseded is set if the worker has seen a higher epoch.
	superseded bool
	// inRoster is set if the stored roster lists the worker, so that a new
	// holder will know that the worker may run tasks.
	inRoster bool
	// inPreviousRoster is set if the previous holder's roster listed the worker.
	inPreviousRoster bool

	attempts []*attempt
	byID     map[endive.AttemptID]*attempt
	// reportedEnds are ended attempts that the worker still reports, with the
	// sequence of the latest command whose report listed them.
	reportedEnds map[endive.AttemptID]uint64

	pending    *pendingCommand
	starts     []*attempt
	stops      []*attempt
	forgets    []endive.AttemptID
	commandDue bool
	probeAt    time.Time
	renewAt    time.Time
	pollAt     time.Time
	// renewUntil is when the worker's leases are no longer renewed, unless the
	// worker answers before.
	renewUntil time.Time
	// leasesEnd is when every lease on the worker has certainly expired.
	leasesEnd time.Time
	// earlyEnds are reports of attempts that had ended, received from the
	// worker before the jobs were loaded.
	earlyEnds []endive.TaskReport

	health health
}

// free returns the capacity that no attempt uses.
func (w *worker) free() endive.Resources { return w.size.Sub(w.used) }

// updateFree updates the worker's element of workers.free.
func (w *worker) updateFree() { w.list.free[w.index] = w.free() }

// acceptsTasks reports whether the worker may get new tasks.
func (w *worker) acceptsTasks(now time.Time) bool {
	return w.responsive && w.inRoster && !w.superseded && !w.drained && w.state == endive.MemberLive &&
		w.passesQuarantine(now)
}

// hasStoppingTask reports whether an attempt is being stopped and hasn't ended
// yet.
func (w *worker) hasStoppingTask() bool {
	for _, a := range w.attempts {
		if a.stopSent {
			return true
		}
	}
	return false
}

// mayHaveEndedTask reports whether an attempt has run for at least half of its
// expected time.
func (w *worker) mayHaveEndedTask(now time.Time) bool {
	for _, a := range w.attempts {
		if a.state >= attemptSent && 2*now.Sub(a.startedAt) >= a.expectedEnd.Sub(a.startedAt) {
			return true
		}
	}
	return false
}

// addAttempt adds an attempt and commits its resources.
func (w *worker) addAttempt(a *attempt) {
	a.worker = w
	w.attempts = append(w.attempts, a)
	w.byID[a.id] = a
	w.used = w.used.Add(a.need)
	w.updateFree()
}

// removeAttempt removes an attempt, which must certainly have ended, and frees
// its resources.
func (w *worker) removeAttempt(a *attempt) {
	for i, other := range w.attempts {
		if other == a {
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

// removeStart removes an attempt from the starts of the next command.
func (w *worker) removeStart(a *attempt) {
	for i, other := range w.starts {
		if other == a {
			w.starts = append(w.starts[:i], w.starts[i+1:]...)
			return
		}
	}
}

// resize sets the usable size to the lower of the listed and a reported size.
func (w *worker) resize(reported endive.Resources) {
	w.size = endive.Resources{
		Processors:   min(w.listed.Processors, reported.Processors),
		Memory:       min(w.listed.Memory, reported.Memory),
		Accelerators: min(w.listed.Accelerators, reported.Accelerators),
	}
	w.updateFree()
}
