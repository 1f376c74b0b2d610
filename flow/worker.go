package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// worker is a worker of the pool, in its newest incarnation.
type worker struct {
	id   endive.WorkerID
	info endive.FleetWorker
	// listed is true while the platform lists the worker.
	listed bool
	// knowledge is what is known of the runs that earlier holders have started on the worker.
	knowledge knowledge
	// inherited is true if the worker was in the roster when this tenure began: only then may an earlier holder have
	// started anything on it.
	inherited bool
	// addressReused is true if another incarnation answers at the address.
	addressReused bool

	runs map[endive.TaskID]*run
	// recordedTasks are the tasks that may run on the worker according to the roster; nil if that
	// isn't known.
	recordedTasks map[endive.TaskID]bool
	used          endive.Resources
	// largestCapacity is the largest capacity, in each dimension, under which runs may have been
	// started on the worker.
	largestCapacity endive.Resources
	// serving counts the runs that serve users, and opportunistic the opportunistic ones,
	// which may slow the serving ones down.
	serving       int
	opportunistic int

	poll pollState
	// roundTrip is the round-trip time to the worker; zero before it is measured.
	roundTrip time.Duration
	// clock is the newest reading of the worker's clock.
	clock clockReading
	// leaseEnd is the latest end of a lease in all orders sent to the worker.
	leaseEnd endive.WorkerTime

	// incarnations counts the earlier incarnations of the worker that this tenure has known. fenced is true once the newest
	// incarnation has answered a poll that was sent to it: from then on it refuses calls to earlier ones.
	incarnations int
	fenced       bool
	// oldLeasesExpireAt is when leases of an earlier incarnation have surely expired.
	oldLeasesExpireAt time.Time
	// lateCallsUntil is until when a call with a lease that got no answer may still be carried out.
	lateCallsUntil time.Time
	// lateStarts has the tasks of which an order to start that got no answer may still be carried out, and until when.
	lateStarts map[endive.TaskID]time.Time
	// lastLeaseAt is when the last call with a lease was sent.
	lastLeaseAt time.Time
	// startAnsweredAt is when the last answer to an order to start arrived, of whatever incarnation.
	startAnsweredAt time.Time

	// lastEnd is the highest number of a processed end of a run; unrecordedEnds are the numbers
	// of the processed ends that aren't recorded yet.
	lastEnd        endive.EndNumber
	unrecordedEnds map[endive.EndNumber]bool
	// firstListedEnd is the lowest number of an end in the worker's last answer; 0 if it listed none.
	firstListedEnd endive.EndNumber
	// unreadEnds are ends of runs whose workflows may be stored and unread.
	unreadEnds []unreadEnd

	// failedPolls counts consecutive polls that failed.
	failedPolls int
	// answeredAt is when the worker's last answer to a poll arrived, and answersLate is true if that
	// was after the timeout of the poll.
	answeredAt  time.Time
	answersLate bool
	// reportedAfter is when the poll was sent that was answered last.
	reportedAfter time.Time
	// lastReport is the worker's time in that answer.
	lastReport endive.WorkerTime
	// heardAt is a time before which the worker hasn't stopped renewing its registration; zero if
	// none is known.
	heardAt time.Time
	health  health
	// dueAt is when the worker has to be processed next; zero for never.
	dueAt time.Time
	// reserved are the resources that the current scheduling pass reserves for work of higher
	// rank; freeingSoon are those that runs will probably free soon.
	reserved    endive.Resources
	freeingSoon endive.Resources
	freedSoon   freedCapacity
	isolation   isolation
	// lossRecorded is true if the crash of the worker, or its silence, has been counted.
	lossRecorded bool
	// refusing is true if the worker's address refused a connection after its last answer.
	refusing bool
	// lost are the runs that were dropped since the worker was silent, or has crashed.
	lost []lostRun
	// crashLogged is true if the crash of the incarnation is in the log of crashes.
	crashLogged bool
}

// ref returns the worker's id and address, for orders to it.
func (w *worker) ref() endive.WorkerRef {
	return endive.WorkerRef{ID: w.id, Address: w.info.Address}
}

// free returns the worker's capacity that is neither used nor reserved.
func (w *worker) free() endive.Resources { return w.info.Capacity.Sub(w.used).Sub(w.reserved) }

// usable reports whether new tasks may be started on the worker.
func (w *worker) usable() bool {
	return w.listed && w.answered() && w.fenced && !w.addressReused && !w.info.Draining && !w.info.Unconfirmed && w.failedPolls == 0
}

// couldRun reports whether a task of a step could run on the worker if nothing else ran there.
func (w *worker) couldRun(s *step) bool { return w.couldRunIn(s, w.info.Capacity) }

// couldRunIn reports the same for a worker that has the given capacity.
func (w *worker) couldRunIn(s *step, capacity endive.Resources) bool {
	if w.info.ID == "" {
		return true
	}
	if !s.spec.Reserved().Fits(capacity) {
		return false
	}
	if s.spec.Label != "" && !w.info.HasLabel(s.spec.Label) {
		return false
	}
	return !s.tickets.ineligible[w.id]
}

// mayRun reports whether a waiting task may be on the worker, whose runs or ends aren't all known.
func (w *worker) mayRun(t *task) bool {
	if w.recordedTasks != nil {
		return w.recordedTasks[t.id]
	}
	return w.mayHaveRun(t.step)
}

// tasksToRecord returns the tasks that may run on a draining worker, and whether they are known.
func (w *worker) tasksToRecord() ([]endive.TaskID, bool) {
	if !w.info.Draining || !w.endsKnown() && w.recordedTasks == nil {
		return nil, false
	}
	var tasks []endive.TaskID
	for id := range w.runs {
		tasks = append(tasks, id)
	}
	if !w.endsKnown() {
		for id := range w.recordedTasks {
			tasks = append(tasks, id)
		}
	}
	slices.Sort(tasks)
	return tasks, true
}

// leasesExpireAt returns when all leases granted to the worker have surely expired.
func (w *worker) leasesExpireAt() time.Time {
	if w.clock.receivedAt.IsZero() {
		return w.oldLeasesExpireAt
	}
	return endive.Latest(w.clock.reachedBy(w.leaseEnd).Add(leaseMargin), w.oldLeasesExpireAt)
}

// addUnlisted adds a worker that is in the roster but isn't listed: it may have runs that
// aren't recorded.
func (m *Machine) addUnlisted(rosterWorker RosterWorker) {
	w := m.trackWorker(rosterWorker.ID)
	w.setInfo(endive.FleetWorker{Address: rosterWorker.Address, Capacity: rosterWorker.Capacity})
	m.sortWorkers()
}

// trackWorker adds a worker that this tenure hasn't known, or has removed. Then it may have restarted since.
func (m *Machine) trackWorker(id endive.WorkerID) *worker {
	w := newWorker(id)
	w.incarnations = m.countIncarnation(id)
	m.workers[id] = w
	return w
}

func newWorker(id endive.WorkerID) *worker {
	w := &worker{id: id, runs: make(map[endive.TaskID]*run), unrecordedEnds: make(map[endive.EndNumber]bool), lateStarts: make(map[endive.TaskID]time.Time)}
	w.poll.open = make(map[PollID]openPoll)
	return w
}

// updateWorkers applies the platform's list of workers.
func (m *Machine) updateWorkers() {
	if !m.tenure.active {
		return
	}
	listed := make(map[endive.WorkerID]bool, len(m.listed.Workers))
	for _, info := range m.listed.Workers {
		listed[info.ID] = true
		m.updateWorker(info)
	}
	for _, w := range m.workers {
		if w.listed && !listed[w.id] {
			w.listed = false
			m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "unlisted", Reason: formatInt(int64(len(w.runs))) + " runs on the worker"})
		}
	}
	m.sortWorkers()
	for _, w := range m.sortedWorkers {
		m.settleLoss(w)
	}
	m.recorder.rosterStale = true
	m.workersDueAt = m.now
	m.passDue = true
}

func (m *Machine) updateWorker(info endive.FleetWorker) {
	w := m.workers[info.ID]
	if w != nil && w.incarnationKnown() && info.StartTime.Before(w.info.StartTime) {
		// The worker itself has already reported a newer incarnation.
		return
	}
	if w != nil && w.incarnationKnown() && info.StartTime.After(w.info.StartTime) {
		m.beginIncarnation(w, info.StartTime)
	}
	if w == nil {
		w = m.trackWorker(info.ID)
	}
	if !w.listed {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "listed", Reason: info.Capacity.String()})
	}
	if w.listed && w.info.Capacity != info.Capacity {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "capacity changed",
			Reason: "from " + w.info.Capacity.String() + " to " + info.Capacity.String() + "; " + w.used.String() + " in use"})
	}
	startedDraining := info.Draining && !w.info.Draining
	if !info.Draining {
		m.forgetDraining(w)
	}
	if w.addressReused && w.info.Address != info.Address {
		w.addressReused = false
	}
	succeeded := !w.listed || !w.info.StartTime.Equal(info.StartTime)
	w.setInfo(info)
	w.listed = true
	if succeeded {
		m.proveBySuccessor(w)
	}
	if startedDraining {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "draining", Reason: "leaves in " + info.LeavesIn.String()})
		m.evacuate(w)
	}
}
