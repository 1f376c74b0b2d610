package cell

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/setup"
)

// listFixture is a list of workers that a test reads at chosen times.
type listFixture struct {
	clock *fakes.Clock
	cell  *Cell
	loop  *workersLoop
}

func newListFixture(t *testing.T) *listFixture {
	f := &listFixture{clock: fakes.NewClock()}
	var settings setup.CellSettings
	settings.Defaults()
	log := hclog.NewNullLogger()
	f.cell = &Cell{Deps: Deps{Settings: settings, Clock: f.clock, Log: log, Store: NewStore(nil, f.clock, log)}}
	f.cell.ctx = t.Context()
	f.loop = newWorkersLoop(f.cell)
	f.readWhole(1)
	return f
}

// readWhole reads the whole list, with two workers.
func (f *listFixture) readWhole(revision endive.Revision) {
	f.read(listReading{complete: true, response: endive.WorkersResponse{
		Revision: revision, Workers: []endive.FleetWorker{{ID: "i-0", Pool: "svc"}, {ID: "i-1", Pool: "svc"}},
	}})
}

// readRenewals reads that workers have renewed their registrations.
func (f *listFixture) readRenewals(revision endive.Revision, ids ...endive.WorkerID) {
	reading := listReading{response: endive.WorkersResponse{Revision: revision}}
	for _, id := range ids {
		reading.response.Workers = append(reading.response.Workers, endive.FleetWorker{ID: id, Pool: "svc"})
	}
	f.read(reading)
}

func (f *listFixture) read(reading listReading) {
	reading.startedAt = f.clock.Now()
	f.cell.Store.recordResultNow(nil)
	f.loop.apply(reading)
}

// unconfirmed returns the number of workers that are unconfirmed.
func (f *listFixture) unconfirmed() int {
	count := 0
	workers, _ := f.loop.inPool("svc")
	for _, w := range workers {
		if w.Unconfirmed {
			count++
		}
	}
	return count
}

// After a long outage of the store, the list has registrations from before it. A worker that may
// have shrunk since must get no tasks until it renews its registration.
func TestRegistrationsFromBeforeAnOutageCount(t *testing.T) {
	is := is.New(t)
	f := newListFixture(t)
	f.clock.Advance(5 * time.Second)
	f.readWhole(2)
	is.Equal(f.unconfirmed(), 2)
	const poll = 500 * time.Millisecond
	f.clock.Advance(poll)
	f.readRenewals(3, "i-0")
	is.Equal(f.unconfirmed(), 1)
	for passed := poll; passed < reregisterGrace; passed += poll {
		f.clock.Advance(poll)
		f.readRenewals(4)
		is.Equal(f.unconfirmed(), 1)
	}
	f.clock.Advance(poll)
	f.readRenewals(5)
	is.Equal(f.unconfirmed(), 0)
}

// A short outage of the store must not stop starts.
func TestShortOutageStopsStarts(t *testing.T) {
	is := is.New(t)
	f := newListFixture(t)
	f.clock.Advance(2 * time.Second)
	f.loop.mu.Lock()
	is.True(f.clock.Now().Before(f.loop.startsUntil()))
	f.loop.mu.Unlock()
	f.readWhole(2)
	is.Equal(f.unconfirmed(), 0)
}

// A reading that may lack changes must not make the list count as current.
func TestIncompleteReadingConfirmsList(t *testing.T) {
	is := is.New(t)
	f := newListFixture(t)
	before := f.loop.startsUntil()
	f.clock.Advance(time.Second)
	f.read(listReading{response: endive.WorkersResponse{Revision: 2, More: true}})
	is.Equal(f.loop.startsUntil(), before)
	f.readRenewals(3)
	is.Equal(f.loop.startsUntil(), before.Add(time.Second))
}

// slowDirectory records how long each reading of the list may take.
type slowDirectory struct {
	endive.Directory
	allowed time.Duration
}

func (d *slowDirectory) Workers(ctx context.Context, _ endive.Revision) (endive.WorkersResponse, error) {
	d.allowed = time.Duration(endive.StallTimeout(ctx))
	return endive.WorkersResponse{Revision: 1}, nil
}

// While the store is slow, a long list may take longer to read than the timeout of a usual call. The
// readings must not all be given up: the list would be outdated, and nothing would start.
func TestListOutdatedWhileStoreIsSlow(t *testing.T) {
	is := is.New(t)
	f := newListFixture(t)
	directory := &slowDirectory{}
	f.cell.Directory = directory
	is.NoErr(f.loop.refresh())
	usual := time.Duration(f.cell.Settings.Timings.StoreTimeout)
	is.True(directory.allowed <= usual)
	f.cell.Store.meanLatency = endive.Interval(300 * time.Millisecond)
	is.NoErr(f.loop.refresh())
	is.True(directory.allowed > usual)
}
