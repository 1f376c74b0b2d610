package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/gauge"
	"endiveroute.example/endive/setup"
)

// The pool's holder has few cores, for example because it started first. The pool must be
// transferred to an entry with far more, and no task may run twice.
func TestPoolTransfersToLargerEntry(t *testing.T) {
	r := newTestCluster(t, 3, 0)
	r.cores = 0.2
	small := r.addEntry("entry-0")
	r.awaitReady()
	for i := range 4 {
		r.submitAccepted(small, "/quick/", fmt.Sprintf("%016x", i), 4, true)
	}
	r.cores = 0.8
	large := r.addEntry("entry-1")
	r.waitFor("the pool is transferred", func() bool { return r.holder() == large })
	for i := range 4 {
		r.waitFor("a workflow has succeeded", func() bool {
			return r.state(large, "/quick/", fmt.Sprintf("%016x", i)) == endive.WorkflowSucceeded
		})
	}
	r.checkInvariants()
}

func TestBetterHolderThan(t *testing.T) {
	tests := []struct {
		name string
		a, b entryRow
		want bool
	}{
		{name: "more cores", a: entryRow{Cores: 0.8, StoreLatencyMillis: 60}, b: entryRow{Cores: 0.2}, want: true},
		{name: "fewer cores", a: entryRow{Cores: 0.2}, b: entryRow{Cores: 0.8, StoreLatencyMillis: 60}},
		{name: "lower store latency", a: entryRow{Cores: 0.8, StoreLatencyMillis: 4}, b: entryRow{Cores: 0.8, StoreLatencyMillis: 64}, want: true},
		{name: "similar store latency", a: entryRow{Cores: 0.8, StoreLatencyMillis: 4}, b: entryRow{Cores: 0.8, StoreLatencyMillis: 9}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.a.betterHolderThan(test.b), test.want)
		})
	}
}

// A pool may only be transferred to an entry that is linked to this one, holds no other pool
// and has far more cores than this one.
func TestTransferTarget(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}, Platform: fixedClock{}, Store: &Store{}, Settings: setup.CellSettings{Name: "entry-0"}}}
	c.Settings.Limits.Cores = 0.2
	p := &peers{cell: c, linked: make(map[endive.EntryID]bool), rows: map[endive.EntryID]entryRow{
		"entry-1": {Cores: 0.8}, "entry-2": {Cores: 0.8, StoreLatencyMillis: 60}, "entry-3": {Cores: 0.3},
	}}
	_, ok := p.transferTarget("quoting", nil)
	is.True(!ok) // no entry is linked
	p.linked["entry-2"], p.linked["entry-3"] = true, true
	id, ok := p.transferTarget("quoting", nil)
	is.True(ok)
	is.Equal(id, endive.EntryID("entry-2"))
	_, ok = p.transferTarget("quoting", map[endive.EntryID]bool{"entry-2": true})
	is.True(!ok) // entry-2 holds another pool, and entry-3 has only a few more cores
}

// fixedClock is a platform clock that always returns the same time.
type fixedClock struct{}

func (fixedClock) Known() bool                            { return true }
func (fixedClock) AtLeast(time.Time) endive.PlatformTime  { return 1000 }
func (fixedClock) Earliest(endive.PlatformTime) time.Time { return time.Time{} }

// During a store outage no entry may try to acquire a pool, however long its lease has been
// expired: the holder may renew the lease with the first call that the store answers.
func TestNoPoolAcquiredDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	log, clock := hclog.NewNullLogger(), endive.SystemClock{}
	c := New(Deps{
		Settings: setup.CellSettings{Name: "entry-0"}, Clock: clock, Platform: fixedClock{}, Log: log, FlushLog: func() {},
		Counters: NewCounters(gauge.New(), tally.NoopScope), Store: NewStore(nil, clock, log),
	})
	defer c.Close()
	c.peers.discovered = true
	p := newPool(c, "svc")
	longAgo := clock.Now().Add(-time.Hour)
	c.Store.recordResultNow(nil)
	is.True(p.acquireAt(longAgo).Before(clock.Now()))
	c.Store.recordResultNow(endive.ErrUnavailable.New("connection refused"))
	is.True(p.acquireAt(longAgo).After(clock.Now()))
}
