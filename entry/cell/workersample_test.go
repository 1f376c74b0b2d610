package cell

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// readsDirectory records after which revisions the list of workers is read.
type readsDirectory struct {
	endive.Directory
	mu    sync.Mutex
	reads []endive.Revision
}

func (d *readsDirectory) Workers(ctx context.Context, after endive.Revision) (endive.WorkersResponse, error) {
	d.mu.Lock()
	d.reads = append(d.reads, after)
	d.mu.Unlock()
	return d.Directory.Workers(ctx, after)
}

// counts returns how often the whole list was read, and how often any part was.
func (d *readsDirectory) counts() (whole, all int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, after := range d.reads {
		if after == 0 {
			whole++
		}
	}
	return whole, len(d.reads)
}

// An entry that holds no pool must not read the whole list of workers: with many entries and
// workers that fills the link between regions. Once it is a holder, it must.
func TestEntryWithoutPoolReadsWholeList(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 3, 1)
	r.awaitReady()
	first := r.holder()
	directory := &readsDirectory{}
	r.directory = func(inner endive.Directory) endive.Directory {
		directory.Directory = inner
		return directory
	}
	second := r.addEntry("entry-1")
	r.waitFor("the second entry has read of workers", func() bool {
		_, all := directory.counts()
		return all > 0 && second.poolNamed("svc") != nil
	})
	whole, _ := directory.counts()
	is.Equal(whole, 0)
	first.Drain()
	r.waitFor("the pool is handed over", func() bool { return second.poolNamed("svc").holding.Load() })
	r.waitFor("the new holder has read the whole list", func() bool {
		whole, _ := directory.counts()
		return whole > 0 && len(listedWorkers(second)) == 3
	})
}

// A sample must never be read from revision 0, which is the whole list.
func TestSampleStart(t *testing.T) {
	tests := []struct {
		name   string
		newest endive.Revision
		want   endive.Revision
	}{
		{name: "new store", newest: 0, want: 1},
		{name: "few revisions", newest: sampleRevisions, want: 1},
		{name: "one more", newest: sampleRevisions + 1, want: 1},
		{name: "many revisions", newest: 1_000_000, want: 1_000_000 - sampleRevisions},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(sampleStart(test.newest), test.want)
		})
	}
}

// The samples of all entries together must not grow with the square of the entries.
func TestSamplesAsOftenWithManyEntries(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		want    time.Duration
	}{
		{name: "no other", want: samplePeriod},
		{name: "a few", entries: 41, want: samplePeriod},
		{name: "many", entries: 300, want: 4 * samplePeriod},
		{name: "a thousand", entries: 1000, want: 11 * samplePeriod},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(samplePause(test.entries), test.want)
		})
	}
}

// Workers that have left must not be named in requests for advice for long: those that the
// platform removed at once, others after the life of a sample.
func TestSampleKeepsFormerWorkers(t *testing.T) {
	is := is.New(t)
	const life = 10 * time.Second
	sample := newWorkerSample(nil)
	_, read := sample.inPool("svc")
	is.True(!read)
	start := time.Unix(1000, 0)
	worker := func(id endive.WorkerID, draining bool) endive.FleetWorker {
		return endive.FleetWorker{ID: id, Pool: "svc", Draining: draining}
	}
	steps := []struct {
		name     string
		after    time.Duration
		response endive.WorkersResponse
		want     []endive.WorkerID
	}{
		{name: "first sample", response: endive.WorkersResponse{Workers: []endive.FleetWorker{worker("b", false), worker("a", false)}}, want: []endive.WorkerID{"a", "b"}},
		{name: "another one", after: life / 2, response: endive.WorkersResponse{Workers: []endive.FleetWorker{worker("c", false), {ID: "d", Pool: "other"}}}, want: []endive.WorkerID{"a", "b", "c"}},
		{name: "one was removed", after: life / 2, response: endive.WorkersResponse{Workers: []endive.FleetWorker{worker("a", true)}, Removed: []endive.WorkerID{"c"}}, want: []endive.WorkerID{"a", "b"}},
		{name: "one is too old", after: life + 1, want: []endive.WorkerID{"a"}},
		{name: "all are", after: 2 * life},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			sample.apply(step.response, start.Add(step.after), life)
			workers, read := sample.inPool("svc")
			is.True(read)
			var ids []endive.WorkerID
			for _, w := range workers {
				ids = append(ids, w.ID)
			}
			is.Equal(ids, step.want)
		})
	}
}

// loopSleep is a pause of a workersLoop of at most an hour.
type loopSleep struct {
	loop  *workersLoop
	ended chan struct{}
}

func (s *loopSleep) run() {
	s.loop.sleepUntilHolding(time.Hour)
	close(s.ended)
}

// A new holder must follow the list at once, not after the pause until its next sample: by a list
// that isn't followed, nothing may be started after a few seconds.
func TestTakeoverWaitsForNextSample(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 1, 1)
	r.awaitReady()
	loop := newWorkersLoop(r.holder())
	loop.beginTenure(r.holder().poolNamed("svc"))
	sleep := &loopSleep{loop: loop, ended: make(chan struct{})}
	go sleep.run()
	select {
	case <-sleep.ended:
	case <-time.After(waitTimeout):
		is.Fail() // the loop must not sleep on
	}
}

// After a time without a pool, the list of an earlier tenure must not be used: a takeover would wait
// for workers that ended long ago. A list that is still followed must be kept.
func TestTakeoverUsesOutdatedList(t *testing.T) {
	is := is.New(t)
	f := newListFixture(t)
	is.True(!f.loop.forgetOutdated(f.clock.Now()))
	workers, ready := f.loop.inPool("svc")
	is.True(ready)
	is.Equal(len(workers), 2)
	f.clock.Advance(time.Duration(f.cell.Settings.Bounds.MaxListAge))
	is.True(f.loop.forgetOutdated(f.clock.Now()))
	workers, ready = f.loop.inPool("svc")
	is.True(!ready)
	is.Equal(len(workers), 0)
	is.Equal(f.loop.readFrom(), endive.Revision(0))
	f.readWhole(1)
	workers, ready = f.loop.inPool("svc")
	is.True(ready)
	is.Equal(len(workers), 2)
}

// While a new holder reads the whole list, the changes since an older one must not be read beside it.
func TestChangesReadBesideWholeList(t *testing.T) {
	is := is.New(t)
	f := newListFixture(t)
	directory := &slowDirectory{}
	f.cell.Directory = directory
	f.loop.refreshing.Add(1)
	is.True(!f.loop.readNext(1))
	is.Equal(directory.allowed, time.Duration(0))
	f.loop.refreshing.Add(-1)
	is.True(!f.loop.readNext(1))
	is.True(directory.allowed > 0)
}
