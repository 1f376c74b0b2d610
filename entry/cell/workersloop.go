package cell

import (
	"reflect"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// reregisterGrace is the time after an outage of the store in which workers may register
// again whose registrations expired during the outage.
const reregisterGrace = 2 * time.Second

// workersLoop polls the list of workers while this entry holds a pool, and otherwise a sample.
type workersLoop struct {
	cell   *Cell
	sample *workerSample
	// tenureBegan receives a value when this entry has become the holder of a pool.
	tenureBegan chan struct{}
	// refreshing counts the calls of refresh that run.
	refreshing atomic.Int32
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
		cell: c, sample: newWorkerSample(c), tenureBegan: make(chan struct{}, 1),
		workers: make(map[endive.WorkerID]endive.FleetWorker), delisted: make(map[endive.WorkerID]bool),
	}
}

func (l *workersLoop) run() {
	for l.cell.ctx.Err() == nil {
		if l.cell.HoldsNoPool() {
			l.sample.renew()
			l.sleepUntilHolding(l.sample.pause())
			continue
		}
		more := l.readNext(l.readFrom())
		l.reportAge()
		if !more {
			l.cell.sleep(time.Duration(l.cell.Settings.Timings.Poll))
		}
	}
}

// sleepUntilHolding waits for the given duration, but not past the beginning of a tenure. A new
// holder reads the whole list by itself, so its changes are read one poll period later.
func (l *workersLoop) sleepUntilHolding(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.tenureBegan:
		l.cell.sleep(time.Duration(l.cell.Settings.Timings.Poll))
	case <-l.cell.ctx.Done():
	}
}

// beginTenure sends a pool that this entry begins to hold the list of its workers, and follows the
// list from now on. An outdated list is forgotten: the takeover would wait for workers that ended
// long ago.
func (l *workersLoop) beginTenure(p *pool) {
	if !l.forgetFor(p) {
		l.publishTo(p)
	}
	select {
	case l.tenureBegan <- struct{}{}:
	default:
		// The loop hasn't received an earlier one yet.
	}
}

// forgetFor forgets an outdated list, also in a pool's state machine, and reports whether it has
// done so. The lock keeps a list that is read meanwhile from being sent before.
func (l *workersLoop) forgetFor(p *pool) bool {
	l.publishing.Lock()
	defer l.publishing.Unlock()
	now := l.cell.Clock.Now()
	if !l.forgetOutdated(now) {
		return false
	}
	p.sendToFlow(flow.WorkersListed{StartsUntil: now})
	return true
}

// forgetOutdated forgets a list by which nothing may be started any more, and reports whether it
// has done so.
func (l *workersLoop) forgetOutdated(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ready && now.Before(l.startsUntil()) {
		return false
	}
	l.revision, l.ready = 0, false
	clear(l.workers)
	clear(l.delisted)
	return true
}

// readFrom returns the revision from which to read changes, or 0 for the whole list.
func (l *workersLoop) readFrom() endive.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// readNext applies the changes after a revision, and reports whether to read on at once.
func (l *workersLoop) readNext(after endive.Revision) bool {
	if l.refreshing.Load() > 0 {
		// The changes since an old list would be read beside the new list.
		return false
	}
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
	l.refreshing.Add(1)
	defer l.refreshing.Add(-1)
	reading, err := l.fetch(0)
	if err == nil {
		l.apply(reading)
	}
	return err
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
	since := l.age.readAt
	l.changed = l.updateAge(reading) || l.changed
	publish := l.changed || !l.ready
	l.changed, l.ready = false, true
	l.mu.Unlock()
	l.reportHeard(reading, since)
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

// forAdvice returns workers of a pool for requests for advice, sorted by id, and whether any have
// been read: all workers on a holder, otherwise a sample.
func (l *workersLoop) forAdvice(pool endive.PoolName) ([]endive.FleetWorker, bool) {
	if l.cell.HoldsNoPool() {
		return l.sample.inPool(pool)
	}
	return l.inPool(pool)
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
