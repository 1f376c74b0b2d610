package flow

import (
	"time"

	"endiveroute.example/endive"
)

// worker is one incarnation of a worker.
type worker struct {
	id   endive.WorkerID
	info endive.FleetWorker
	// listed says that the platform lists the worker.
	listed bool
	// adopted says that the worker has answered in this tenure, so that all that
	// runs there is known.
	adopted bool
	// addressReused says that another incarnation answers at the address.
	addressReused bool

	runs map[endive.TaskID]*run
	used endive.Resources
	// serving counts the runs that serve users, and opportunistic the opportunistic
	// ones that may harm them.
	serving       int
	opportunistic int

	poll pollState
	// roundTrip is how long the way to the worker and back takes; zero before it is known.
	roundTrip time.Duration
	// clock is the newest reading of the worker's clock.
	clock clockReading
	// leaseEnd is the latest end of a lease in any order that was sent.
	leaseEnd endive.WorkerTime

	// incarnations counts the incarnations that were seen under the id.
	incarnations int
	// oldLeasesExpireAt is when leases of an earlier incarnation have surely run out.
	oldLeasesExpireAt time.Time

	// lastEnd is the highest end that was taken in; unrecordedEnds are those before it that
	// aren't recorded yet.
	lastEnd        endive.EndNumber
	unrecordedEnds map[endive.EndNumber]bool

	// failedPolls counts looks in a row that weren't answered.
	failedPolls int
	health      health
	// dueAt is when the worker wants to be looked at next; zero for never.
	dueAt time.Time
	// reserved is kept in the current look for work that comes first; freeingSoon is what
	// runs will probably give back soon.
	reserved    endive.Resources
	freeingSoon endive.Resources
}

// pollState is the state of the looks at a worker.
type pollState struct {
	inFlight bool
	// sentAt is when the last look was sent, immediate says that it was answered without
	// a wait, and sentStep is the machine's step in which it was sent.
	sentAt    time.Time
	immediate bool
	sentStep  uint64
	// nextAt is when the next look is due.
	nextAt time.Time
}

// clockReading relates a worker's clock to ours: the worker's showed at when the
// answer was on its way, and the answer came at received.
type clockReading struct {
	workerTime endive.WorkerTime
	receivedAt time.Time
}

// estimate returns the worker's time now if its clock isn't slow.
func (c clockReading) estimate(now time.Time) endive.WorkerTime {
	return c.workerTime + endive.WorkerTime(now.Sub(c.receivedAt).Milliseconds())
}

// reachedBy returns our time at which the worker's clock has surely reached t.
func (c clockReading) reachedBy(t endive.WorkerTime) time.Time {
	return c.receivedAt.Add(longestDuration(time.Duration(t-c.workerTime) * time.Millisecond))
}

// ref returns whom orders to the worker are for.
func (w *worker) ref() endive.WorkerRef {
	return endive.WorkerRef{ID: w.id, Address: w.info.Address}
}

// free returns what is left of the worker's capacity.
func (w *worker) free() endive.Resources { return w.info.Capacity.Sub(w.used).Sub(w.reserved) }

// usable reports whether tasks may be started on the worker at all.
func (w *worker) usable() bool {
	return w.listed && w.adopted && !w.addressReused && !w.info.Draining && w.failedPolls == 0
}

// couldRun reports whether a task of a step could run on the worker, were it empty.
func (w *worker) couldRun(s *step) bool {
	if w.info.ID == "" {
		return true
	}
	if !s.spec.Reserved().Fits(w.info.Capacity) {
		return false
	}
	if s.spec.Label != "" && !w.info.HasLabel(s.spec.Label) {
		return false
	}
	return !s.tickets.ineligible[w.id]
}

// leasesExpireAt returns when all leases that were granted have run out.
func (w *worker) leasesExpireAt() time.Time {
	if w.clock.receivedAt.IsZero() {
		return w.oldLeasesExpireAt
	}
	return endive.Latest(w.clock.reachedBy(w.leaseEnd).Add(leaseMargin), w.oldLeasesExpireAt)
}

// beginIncarnation takes in that another incarnation runs under the worker's id. It knows
// nothing of the runs before; but an order on its way may be carried out by it, so
// each run is given up only when the new incarnation doesn't list it.
func (m *Machine) beginIncarnation(w *worker, startTime time.Time) {
	m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "started anew", Reason: formatInt(int64(len(w.runs))) + " runs were there"})
	// Such an order has a lease by the clock of the incarnation before.
	w.oldLeasesExpireAt = endive.Latest(w.leasesExpireAt(), m.now.Add(longestDuration(time.Duration(m.settings.MaxLeaseDuration))+clockErrorMargin+leaseMargin))
	w.info.StartTime = startTime
	w.incarnations++
	w.adopted, w.addressReused = false, false
	w.lastEnd, w.leaseEnd, w.clock = 0, 0, clockReading{}
	w.unrecordedEnds = make(map[endive.EndNumber]bool)
	w.poll.nextAt = m.now
}

// addUnlisted adds a worker of the roster that isn't listed: something may run
// there that nobody has recorded.
func (m *Machine) addUnlisted(rosterWorker RosterWorker) {
	w := newWorker(rosterWorker.ID)
	w.info.Address = rosterWorker.Address
	m.workers[rosterWorker.ID] = w
	m.sortWorkers()
}

func newWorker(id endive.WorkerID) *worker {
	return &worker{id: id, runs: make(map[endive.TaskID]*run), unrecordedEnds: make(map[endive.EndNumber]bool)}
}

// updateWorkers takes over the list of workers.
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
			m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "unlisted", Reason: formatInt(int64(len(w.runs))) + " runs there"})
		}
	}
	m.sortWorkers()
	m.recorder.rosterStale = true
	m.workersDueAt = m.now
	m.passDue = true
}

func (m *Machine) updateWorker(info endive.FleetWorker) {
	w := m.workers[info.ID]
	if w != nil && w.info.ID != "" && info.StartTime.Before(w.info.StartTime) {
		// The worker itself has told of a newer incarnation.
		return
	}
	if w != nil && w.info.ID != "" && info.StartTime.After(w.info.StartTime) {
		m.beginIncarnation(w, info.StartTime)
	}
	if w == nil {
		w = newWorker(info.ID)
		m.workers[info.ID] = w
	}
	if !w.listed {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "listed", Reason: info.Capacity.String()})
	}
	startedDraining := info.Draining && !w.info.Draining
	if w.addressReused && w.info.Address != info.Address {
		w.addressReused = false
	}
	w.info, w.listed = info, true
	if startedDraining {
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "draining", Reason: "leaves in " + info.LeavesIn.String()})
		m.evacuate(w)
	}
}
