package cell

import (
	"sort"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
)

// An entry that holds no pool needs some workers to name in its requests for advice, but not all:
// with the whole list at each entry, the bytes from the store would grow with entries times
// workers. Such an entry reads the newest changes of the list, which are a few of the workers that
// renewed their registrations last, and different ones each time.

const (
	// sampleRevisions is from how many revisions of the store a sample is taken. It limits the
	// workers in a sample.
	sampleRevisions = 150
	// samplePeriod is the period between two samples with few entries.
	samplePeriod = 4 * time.Second
	// entriesPerSamplePeriod is the number of entries for which samplePeriod is added once
	// more: the samples of all entries together share the links between regions.
	entriesPerSamplePeriod = 100
	// sampleLife is for how many periods a worker is kept that isn't in a later sample.
	sampleLife = 5
)

// samplePause returns the period between two samples with a number of other entries.
func samplePause(entries int) time.Duration {
	return samplePeriod * time.Duration(1+entries/entriesPerSamplePeriod)
}

// sampleStart returns the revision from which a sample is read, given the newest one. It is never
// 0, which would mean the whole list.
func sampleStart(newest endive.Revision) endive.Revision {
	if newest <= sampleRevisions {
		return 1
	}
	return newest - sampleRevisions
}

// sampledWorker is a worker with the end of its time in the sample.
type sampledWorker struct {
	worker endive.FleetWorker
	until  time.Time
}

// workerSample has a part of the workers. It is safe for concurrent use.
type workerSample struct {
	cell *Cell

	mu      sync.Mutex
	workers map[endive.WorkerID]sampledWorker
	// read is true once a sample has been read.
	read bool
}

func newWorkerSample(c *Cell) *workerSample {
	return &workerSample{cell: c, workers: make(map[endive.WorkerID]sampledWorker)}
}

// renew reads a sample. After a failure the earlier samples stay.
func (s *workerSample) renew() {
	timeout := s.cell.Store.adaptiveTimeout(time.Duration(s.cell.Settings.Timings.StoreTimeout))
	ctx := endive.WithStallTimeout(s.cell.ctx, endive.Interval(timeout))
	// This table is small; only the revision is needed.
	newest, err := s.cell.Store.Scan(ctx, elect.Table+"//", 0)
	if err != nil {
		s.cell.Log.Info("can't read the store's revision for a sample of the workers", "error", err.Error())
		return
	}
	response, err := s.cell.Directory.Workers(ctx, sampleStart(newest.Revision))
	if err != nil {
		s.cell.Log.Info("can't read a sample of the workers", "error", err.Error())
		return
	}
	s.apply(response, s.cell.Clock.Now(), sampleLife*s.pause())
}

// pause returns the period until the next sample.
func (s *workerSample) pause() time.Duration { return samplePause(s.cell.peers.count()) }

// apply adds the workers of a sample for the given life, and removes those that have left or
// weren't in a sample for too long.
func (s *workerSample) apply(response endive.WorkersResponse, now time.Time, life time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = true
	for _, w := range response.Workers {
		s.workers[w.ID] = sampledWorker{worker: w, until: now.Add(life)}
	}
	for _, id := range response.Removed {
		delete(s.workers, id)
	}
	for id, sampled := range s.workers {
		if now.After(sampled.until) {
			delete(s.workers, id)
		}
	}
}

// inPool returns the sampled workers of a pool sorted by id, and whether a sample has been read.
func (s *workerSample) inPool(pool endive.PoolName) ([]endive.FleetWorker, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var workers []endive.FleetWorker
	for _, sampled := range s.workers {
		if sampled.worker.Pool == pool {
			workers = append(workers, sampled.worker)
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	return workers, s.read
}
