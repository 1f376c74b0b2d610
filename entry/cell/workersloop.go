package cell

import (
	"context"
	"reflect"
	"sort"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// reregisterGrace is how long after the store's return workers whose entries have
// lapsed meanwhile may take to be back in the list.
const reregisterGrace = 2 * time.Second

// workersLoop follows the list of workers.
type workersLoop struct {
	cell *Cell

	mu sync.Mutex
	// revision is the revision up to which the list is known.
	revision endive.Revision
	workers  map[endive.WorkerID]endive.FleetWorker
	changed  bool
	ready    bool
	// delisted are workers that disappeared from the list and may come back, since the
	// store was away.
	delisted map[endive.WorkerID]bool
}

func newWorkersLoop(c *Cell) *workersLoop {
	return &workersLoop{
		cell: c, workers: make(map[endive.WorkerID]endive.FleetWorker), delisted: make(map[endive.WorkerID]bool),
	}
}

func (l *workersLoop) run() {
	for l.cell.ctx.Err() == nil {
		if !l.readNext(l.readFrom()) {
			l.cell.sleep(l.pollPeriod())
		}
	}
}

// readFrom returns the revision to read on from. An entry that holds no pool reads the list
// anew, but rarely: of many workers the news of each heartbeat would be more.
func (l *workersLoop) readFrom() endive.Revision {
	if l.cell.HoldsNoPool() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// readNext takes in what is new after a revision, and reports whether there may be more.
func (l *workersLoop) readNext(after endive.Revision) bool {
	response, err := l.fetch(after)
	if endive.ErrHistoryLost.Has(err) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.revision = 0
		return true
	}
	if err != nil {
		return false
	}
	l.apply(response, after == 0)
	return response.More
}

// refresh reads the list anew for an entry that begins to hold a pool, whose own is old.
func (l *workersLoop) refresh() error {
	response, err := l.fetch(0)
	if err == nil {
		l.apply(response, true)
	}
	return err
}

// idlePollFactor is how many times rarer an entry that holds no pool looks at the list.
const idlePollFactor = 3

// pollPeriod lies between two looks at the list.
func (l *workersLoop) pollPeriod() time.Duration {
	period := time.Duration(l.cell.Settings.Timings.Poll)
	if l.cell.HoldsNoPool() {
		return idlePollFactor * period * time.Duration((l.cell.peers.pollSlowdown()+1)/2)
	}
	return period
}

func (l *workersLoop) fetch(after endive.Revision) (endive.WorkersResponse, error) {
	ctx, cancel := context.WithTimeout(l.cell.ctx, time.Duration(l.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	return l.cell.Directory.Workers(ctx, after)
}

// apply takes in what is new, and tells the pools if anything changed that matters.
func (l *workersLoop) apply(response endive.WorkersResponse, complete bool) {
	l.mu.Lock()
	if response.Revision < l.revision {
		// What was read meanwhile is newer.
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
	if complete {
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
	publish := l.changed || !l.ready
	l.changed, l.ready = false, true
	l.mu.Unlock()
	if publish {
		l.publishAll()
	}
}

// evictDelisted forgets the workers whose entries are gone. After an outage of the
// store they get the time to register again.
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

// inPool returns the workers of a pool in the order of their ids, and whether the list
// has been read.
func (l *workersLoop) inPool(pool endive.PoolName) ([]endive.FleetWorker, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var workers []endive.FleetWorker
	for _, w := range l.workers {
		if w.Pool == pool {
			workers = append(workers, w)
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	return workers, l.ready
}

// publishAll tells each pool its workers.
func (l *workersLoop) publishAll() {
	for _, p := range l.cell.allPools() {
		if listed, ok := l.workersEvent(p.name); ok {
			p.sendToFlow(listed)
		}
	}
}

// workersEvent returns what a pool's holder is told of the list.
func (l *workersLoop) workersEvent(pool endive.PoolName) (flow.WorkersListed, bool) {
	workers, ok := l.inPool(pool)
	return flow.WorkersListed{Workers: workers}, ok
}
