package flow

import (
	"time"

	"endiveroute.example/endive"
)

// worker is one incarnation of a worker.
type worker struct {
	id   endive.WorkerID
	self endive.FleetWorker
	// listed says that the platform lists the worker.
	listed bool
	// adopted says that the worker has answered in this tenure, so that all that
	// runs there is known.
	adopted bool
	// stale says that another incarnation answers at the address.
	stale bool

	runs map[endive.TaskID]*run
	used endive.Resources
	// serving and filling count the runs that serve users, and the opportunistic
	// ones that may harm them.
	serving int
	filling int

	hold hold
	// way is how long the way to the worker and back takes; zero before it is known.
	way time.Duration
	// clock is the newest reading of the worker's clock.
	clock clockReading
	// leaseEnd is the latest end of a lease in any order that was sent.
	leaseEnd endive.WorkerTime

	// life counts the incarnations that were seen under the id.
	life int
	// overBy is when leases of an earlier incarnation have surely run out.
	overBy time.Time

	// newestEnd is the highest end that was taken in; open are those before it that
	// aren't recorded yet.
	newestEnd endive.EndNumber
	open      map[endive.EndNumber]bool

	// failures counts looks in a row that weren't answered.
	failures int
	health   health
	// nextAt is when the worker wants to be looked at next; zero for never.
	nextAt time.Time
	// setAside is kept in the current look for work that comes first; soon is what
	// runs will probably give back soon.
	setAside endive.Resources
	soon     endive.Resources
}

// hold is the state of the looks at a worker.
type hold struct {
	inFlight bool
	// sentAt is when the last look was sent, atOnce says that it was answered without
	// a wait, and sentStep is the machine's step in which it was sent.
	sentAt   time.Time
	atOnce   bool
	sentStep uint64
	// again is when the next look is due.
	again time.Time
}

// clockReading relates a worker's clock to ours: the worker's showed at when the
// answer was on its way, and the answer came at received.
type clockReading struct {
	at       endive.WorkerTime
	received time.Time
}

// guess returns the worker's time now if its clock isn't slow.
func (c clockReading) guess(now time.Time) endive.WorkerTime {
	return c.at + endive.WorkerTime(now.Sub(c.received).Milliseconds())
}

// surely returns our time at which the worker's clock has surely reached t.
func (c clockReading) surely(t endive.WorkerTime) time.Time {
	return c.received.Add(slowest(time.Duration(t-c.at) * time.Millisecond))
}

// ref returns whom orders to the worker are for.
func (w *worker) ref() endive.WorkerRef {
	return endive.WorkerRef{ID: w.id, Address: w.self.Address}
}

// free returns what is left of the worker's capacity.
func (w *worker) free() endive.Resources { return w.self.Capacity.Sub(w.used).Sub(w.setAside) }

// usable reports whether tasks may be started on the worker at all.
func (w *worker) usable() bool {
	return w.listed && w.adopted && !w.stale && !w.self.Draining && w.failures == 0
}

// couldRun reports whether a task of a step could run on the worker, were it empty.
func (w *worker) couldRun(s *step) bool {
	if w.self.ID == "" {
		return true
	}
	if !s.spec.Reserved().Fits(w.self.Capacity) {
		return false
	}
	if s.spec.Label != "" && !w.self.HasLabel(s.spec.Label) {
		return false
	}
	return !s.tickets.bad[w.id]
}

// surelyOver returns when all leases that were granted have run out.
func (w *worker) surelyOver() time.Time {
	if w.clock.received.IsZero() {
		return w.overBy
	}
	return endive.Latest(w.clock.surely(w.leaseEnd).Add(leaseMargin), w.overBy)
}

// beginLife takes in that another incarnation runs under the worker's id. It knows
// nothing of the runs before; but an order on its way may be carried out by it, so
// each run is given up only when the new incarnation doesn't list it.
func (m *Machine) beginLife(w *worker, born time.Time) {
	m.note(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "started anew", Reason: number(int64(len(w.runs))) + " runs were there"})
	// Such an order has a lease by the clock of the incarnation before.
	w.overBy = endive.Latest(w.surelyOver(), m.now.Add(slowest(time.Duration(m.settings.MaxLeaseDuration))+guessMargin+leaseMargin))
	w.self.Born = born
	w.life++
	w.adopted, w.stale = false, false
	w.newestEnd, w.leaseEnd, w.clock = 0, 0, clockReading{}
	w.open = make(map[endive.EndNumber]bool)
	w.hold.again = m.now
}

// addUnlisted adds a worker of the roster that isn't listed: something may run
// there that nobody has recorded.
func (m *Machine) addUnlisted(one RosterWorker) {
	w := newWorker(one.ID)
	w.self.Address = one.Address
	m.workers[one.ID] = w
	m.sortWorkers()
}

func newWorker(id endive.WorkerID) *worker {
	return &worker{id: id, runs: make(map[endive.TaskID]*run), open: make(map[endive.EndNumber]bool)}
}

// updateWorkers takes over the list of workers.
func (m *Machine) updateWorkers() {
	if !m.tenure.active {
		return
	}
	seen := make(map[endive.WorkerID]bool, len(m.listed.Workers))
	for _, self := range m.listed.Workers {
		seen[self.ID] = true
		m.updateWorker(self)
	}
	for _, w := range m.workers {
		if w.listed && !seen[w.id] {
			w.listed = false
			m.note(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "unlisted", Reason: number(int64(len(w.runs))) + " runs there"})
		}
	}
	m.sortWorkers()
	m.recorder.rosterStale = true
	m.sweepAt = m.now
	m.passDue = true
}

func (m *Machine) updateWorker(self endive.FleetWorker) {
	w := m.workers[self.ID]
	if w != nil && w.self.ID != "" && self.Born.Before(w.self.Born) {
		// The worker itself has told of a newer incarnation.
		return
	}
	if w != nil && w.self.ID != "" && self.Born.After(w.self.Born) {
		m.beginLife(w, self.Born)
	}
	if w == nil {
		w = newWorker(self.ID)
		m.workers[self.ID] = w
	}
	if !w.listed {
		m.note(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "listed", Reason: self.Capacity.String()})
	}
	began := self.Draining && !w.self.Draining
	if w.stale && w.self.Address != self.Address {
		w.stale = false
	}
	w.self, w.listed = self, true
	if began {
		m.note(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "draining", Reason: "leaves in " + self.LeavesIn.String()})
		m.evacuate(w)
	}
}
