package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/setup"
)

// A pool is held by an entry with little processor time, as at a start in which it
// was the first: it goes to one with much more, and nothing runs twice.
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
	r.waitFor("the pool is handed on", func() bool { return r.holder() == large })
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
		{name: "more processor time", a: entryRow{Cores: 0.8, StoreLatencyMillis: 60}, b: entryRow{Cores: 0.2}, want: true},
		{name: "less processor time", a: entryRow{Cores: 0.2}, b: entryRow{Cores: 0.8, StoreLatencyMillis: 60}},
		{name: "nearer to the store", a: entryRow{Cores: 0.8, StoreLatencyMillis: 4}, b: entryRow{Cores: 0.8, StoreLatencyMillis: 64}, want: true},
		{name: "about as near", a: entryRow{Cores: 0.8, StoreLatencyMillis: 4}, b: entryRow{Cores: 0.8, StoreLatencyMillis: 9}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.a.betterHolderThan(test.b), test.want)
		})
	}
}

// The entry to which a pool goes is linked, holds no other, and has much more
// processor time.
func TestTransferTarget(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}, Platform: fixedClock{}, Store: &Store{}, Settings: setup.CellSettings{Name: "entry-0"}}}
	c.Settings.Limits.Cores = 0.2
	p := &peers{cell: c, linked: make(map[endive.EntryID]bool), rows: map[endive.EntryID]entryRow{
		"entry-1": {Cores: 0.8}, "entry-2": {Cores: 0.8, StoreLatencyMillis: 60}, "entry-3": {Cores: 0.3},
	}}
	_, ok := p.transferTarget("quoting", nil)
	is.True(!ok) // none is linked
	p.linked["entry-2"], p.linked["entry-3"] = true, true
	id, ok := p.transferTarget("quoting", nil)
	is.True(ok)
	is.Equal(id, endive.EntryID("entry-2"))
	_, ok = p.transferTarget("quoting", map[endive.EntryID]bool{"entry-2": true})
	is.True(!ok) // it holds another, and the next has little more
}

// fixedClock stands still.
type fixedClock struct{}

func (fixedClock) Known() bool                            { return true }
func (fixedClock) AtLeast(time.Time) endive.PlatformTime  { return 1000 }
func (fixedClock) Earliest(endive.PlatformTime) time.Time { return time.Time{} }

// While the store is away nobody tries to take a pool, however long it has been free: the
// holder may renew its lease with the first call that is answered.
func TestNoPoolAcquiredDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	log, clock := hclog.NewNullLogger(), endive.SystemClock{}
	c := New(Deps{
		Settings: setup.CellSettings{Name: "entry-0"}, Clock: clock, Platform: fixedClock{}, Log: log,
		Counters: NewCounters(tally.NoopScope), Store: NewStore(nil, clock, log),
	})
	defer c.Close()
	c.peers.discovered = true
	p := newPool(c, "svc")
	longAgo := clock.Now().Add(-time.Hour)
	c.Store.recordResultNow(nil)
	is.True(p.acquireAt(longAgo).Before(clock.Now()))
	c.Store.recordResultNow(endive.ErrUnavailable.New("turned away"))
	is.True(p.acquireAt(longAgo).After(clock.Now()))
}
