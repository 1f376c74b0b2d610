package cell

import (
	"reflect"
	"sort"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// reregisterGrace is the time after an outage of the store in which workers may register
// again whose registrations expired during the outage.
const reregisterGrace = 2 * time.Second

// workersLoop polls the list of workers.
type workersLoop struct {
	cell *Cell
	// publishing is locked while a list is sent to the pools, so that no older list follows.
	publishing sync.Mutex

	mu sync.Mutex
	// revision is the store revision of the list.
	revision endive.Revision
	workers  map[endive.WorkerID]endive.FleetWorker
	changed  bool
	ready    bool
	// delisted are workers that disappeared from the list but stay known until the grace
	// after an outage of the store is over.
	delisted map[endive.WorkerID]bool
	age      listAge
}

func newWorkersLoop(c *Cell) *workersLoop {
	return &workersLoop{
		cell: c, workers: make(map[endive.WorkerID]endive.FleetWorker), delisted: make(map[endive.WorkerID]bool),
	}
}

func (l *workersLoop) run() {
	for l.cell.ctx.Err() == nil {
		more := l.readNext(l.readFrom())
		l.reportAge()
		if !more {
			l.cell.sleep(l.pollPeriod())
		}
	}
}

// readFrom returns the revision from which to read changes, or 0 for the whole list. An entry
// that holds no pool reads the whole list at a lower rate: with many workers, the changes, one
// for each heartbeat of a worker, would be more data.
func (l *workersLoop) readFrom() endive.Revision {
	if l.cell.HoldsNoPool() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// readNext applies the changes after a revision, and reports whether to read on at once.
func (l *workersLoop) readNext(after endive.Revision) bool {
	reading, err := l.fetch(after)
	if endive.ErrHistoryLost.Has(err) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.revision = 0
		return true
	}
	if err != nil {
		return false
	}
	l.apply(reading)
	return reading.response.More
}

// refresh reads the whole list; a new holder needs it because its own list may be outdated.
func (l *workersLoop) refresh() error {
	reading, err := l.fetch(0)
	if err == nil {
		l.apply(reading)
	}
	return err
}

// idlePollFactor is the smallest idleFactor.
const idlePollFactor = 3

// pollPeriod returns the period between two polls of the list.
func (l *workersLoop) pollPeriod() time.Duration {
	period := time.Duration(l.cell.Settings.Timings.Poll)
	if l.cell.HoldsNoPool() {
		return period * time.Duration(l.idleFactor())
	}
	return period
}

// idleFactor returns the factor by which an entry that holds no pool lengthens the poll period.
func (l *workersLoop) idleFactor() int {
	forWorkers := 1 + l.size()/workersPerIdlePoll
	forEntries := 1 + l.cell.peers.count()/entriesPerIdlePoll
	return idlePollFactor * ((l.cell.peers.pollSlowdown() + 1) / 2) * forWorkers * forEntries
}

// workersPerIdlePoll is the number of workers for which an entry that holds no pool lengthens
// the poll period once more. It reads the whole list each time, and a new holder reads it anew.
const workersPerIdlePoll = 500

// entriesPerIdlePoll is the number of entries for which such an entry lengthens the poll period once
// more: the lists of all entries together share the links between regions.
const entriesPerIdlePoll = 100

// size returns the number of workers in the list.
func (l *workersLoop) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.workers)
}

func (l *workersLoop) fetch(after endive.Revision) (listReading, error) {
	startedAt := l.cell.Clock.Now()
	timeout := l.cell.Store.adaptiveTimeout(time.Duration(l.cell.Settings.Timings.StoreTimeout))
	response, err := l.cell.Directory.Workers(endive.WithStallTimeout(l.cell.ctx, endive.Interval(timeout)), after)
	return listReading{response: response, complete: after == 0, startedAt: startedAt}, err
}

// apply updates the list by a reading. It publishes the list if it changed or is the first, and
// confirms it otherwise.
func (l *workersLoop) apply(reading listReading) {
	response := reading.response
	l.mu.Lock()
	if response.Revision < l.revision {
		// A concurrent read has already applied a newer list.
		l.mu.Unlock()
		return
	}
	l.revision = response.Revision
	listed := make(map[endive.WorkerID]bool, len(response.Workers))
	for _, w := range response.Workers {
		listed[w.ID] = true
		delete(l.delisted, w.ID)
		if old, ok := l.workers[w.ID]; !ok || !reflect.DeepEqual(old, w) {
			l.workers[w.ID] = w
			l.changed = true
		}
	}
	removed := response.Removed
	if reading.complete {
		for id := range l.workers {
			if !listed[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		if _, ok := l.workers[id]; ok {
			l.delisted[id] = true
		}
	}
	l.evictDelisted()
	l.changed = l.updateAge(reading) || l.changed
	publish := l.changed || !l.ready
	l.changed, l.ready = false, true
	l.mu.Unlock()
	l.reportHeard(reading)
	if publish {
		l.publishAll()
	} else {
		l.confirmAll()
	}
}

// evictDelisted removes the delisted workers, except within reregisterGrace after an outage
// of the store.
func (l *workersLoop) evictDelisted() {
	if l.cell.Clock.Now().Before(l.cell.Store.lastRecovery().Add(reregisterGrace)) {
		return
	}
	for id := range l.delisted {
		delete(l.workers, id)
		delete(l.delisted, id)
		l.changed = true
	}
}

// inPool returns the workers of a pool sorted by id, and whether the list has been read.
func (l *workersLoop) inPool(pool endive.PoolName) ([]endive.FleetWorker, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workersOf(pool), l.ready
}

// workersOf returns the workers of a pool sorted by id. The caller holds the lock.
func (l *workersLoop) workersOf(pool endive.PoolName) []endive.FleetWorker {
	var workers []endive.FleetWorker
	for _, w := range l.workers {
		if w.Pool == pool {
			w.Unconfirmed = l.age.unconfirmed[w.ID]
			workers = append(workers, w)
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	return workers
}

// publishAll sends each pool the list of its workers.
func (l *workersLoop) publishAll() {
	for _, p := range l.cell.allPools() {
		l.publishTo(p)
	}
}

// publishTo sends a pool the list of its workers, if the list has been read.
func (l *workersLoop) publishTo(p *pool) {
	l.publishing.Lock()
	defer l.publishing.Unlock()
	l.mu.Lock()
	listed, ready := flow.WorkersListed{Workers: l.workersOf(p.name), StartsUntil: l.startsUntil()}, l.ready
	l.mu.Unlock()
	if ready {
		p.sendToFlow(listed)
	}
}
