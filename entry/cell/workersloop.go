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

// lapseGrace is how long after the store's return workers whose entries have
// lapsed meanwhile may take to be back in the list.
const lapseGrace = 2 * time.Second

// workersLoop follows the list of workers.
type workersLoop struct {
	cell *Cell

	mu sync.Mutex
	// after is the revision up to which the list is known.
	after   endive.Revision
	workers map[endive.WorkerID]endive.FleetWorker
	changed bool
	ready   bool
	// missing are workers that disappeared from the list and may come back, since the
	// store was away.
	missing map[endive.WorkerID]bool
}

func newWorkersLoop(c *Cell) *workersLoop {
	return &workersLoop{
		cell: c, workers: make(map[endive.WorkerID]endive.FleetWorker), missing: make(map[endive.WorkerID]bool),
	}
}

func (l *workersLoop) run() {
	for l.cell.ctx.Err() == nil {
		if !l.look(l.from()) {
			l.cell.pause(l.period())
		}
	}
}

// from returns the revision to read on from. An entry that holds no pool reads the list
// anew, but rarely: of many workers the news of each heartbeat would be more.
func (l *workersLoop) from() endive.Revision {
	if l.cell.HoldsNone() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.after
}

// look takes in what is new after a revision, and reports whether there may be more.
func (l *workersLoop) look(after endive.Revision) bool {
	news, err := l.next(after)
	if endive.ErrHistoryLost.Has(err) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.after = 0
		return true
	}
	if err != nil {
		return false
	}
	l.take(news, after == 0)
	return news.More
}

// refresh reads the list anew for an entry that begins to hold a pool, whose own is old.
func (l *workersLoop) refresh() error {
	news, err := l.next(0)
	if err == nil {
		l.take(news, true)
	}
	return err
}

// idlePolls is how many times rarer an entry that holds no pool looks at the list.
const idlePolls = 3

// period lies between two looks at the list.
func (l *workersLoop) period() time.Duration {
	period := time.Duration(l.cell.Settings.Timings.Poll)
	if l.cell.HoldsNone() {
		return idlePolls * period * time.Duration((l.cell.peers.rarity()+1)/2)
	}
	return period
}

func (l *workersLoop) next(after endive.Revision) (endive.WorkersResponse, error) {
	ctx, cancel := context.WithTimeout(l.cell.ctx, time.Duration(l.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	return l.cell.Directory.Workers(ctx, after)
}

// take takes in what is new, and tells the pools if anything changed that matters.
func (l *workersLoop) take(news endive.WorkersResponse, all bool) {
	l.mu.Lock()
	if news.Revision < l.after {
		// What was read meanwhile is newer.
		l.mu.Unlock()
		return
	}
	l.after = news.Revision
	seen := make(map[endive.WorkerID]bool, len(news.Workers))
	for _, w := range news.Workers {
		seen[w.ID] = true
		delete(l.missing, w.ID)
		if old, ok := l.workers[w.ID]; !ok || !reflect.DeepEqual(old, w) {
			l.workers[w.ID] = w
			l.changed = true
		}
	}
	gone := news.Removed
	if all {
		for id := range l.workers {
			if !seen[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if _, ok := l.workers[id]; ok {
			l.missing[id] = true
		}
	}
	l.dropMissing()
	publish := l.changed || !l.ready
	l.changed, l.ready = false, true
	l.mu.Unlock()
	if publish {
		l.publishAll()
	}
}

// dropMissing forgets the workers whose entries are gone. After an outage of the
// store they get the time to register again.
func (l *workersLoop) dropMissing() {
	if l.cell.Clock.Now().Before(l.cell.Rows.returned().Add(lapseGrace)) {
		return
	}
	for id := range l.missing {
		delete(l.workers, id)
		delete(l.missing, id)
		l.changed = true
	}
}

// of returns the workers of a pool in the order of their ids, and whether the list
// has been read.
func (l *workersLoop) of(pool endive.PoolName) ([]endive.FleetWorker, bool) {
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
		if seen, ok := l.seenOf(p.name); ok {
			p.tell(seen)
		}
	}
}

// seenOf returns what a pool's holder is told of the list.
func (l *workersLoop) seenOf(pool endive.PoolName) (flow.WorkersListed, bool) {
	workers, ok := l.of(pool)
	return flow.WorkersListed{Workers: workers}, ok
}
