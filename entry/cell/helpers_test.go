package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// An answer to an earlier run of this entry, from whom that run had asked, doesn't
// end the waiting for another's; and no run uses the tags of an earlier one.
func TestAnswerOfAnotherEntry(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}}
	h := newHelpers(c)
	asked := &helped{helpers: h, tag: 5, to: "entry-2", timer: time.AfterFunc(time.Hour, func() {})}
	h.waiting[5] = asked
	h.answered("entry-3", &wire.AdviceAnswer{Tag: 5, Answered: true})
	is.Equal(h.waiting[5], asked)
	is.Equal(h.take(5, "entry-2"), asked)
	is.Equal(len(h.waiting), 0)
	is.True(newHelpers(c).last > h.last)
	is.True(newRelays(c).last > h.last)
}

// The load: entries that accept work all ask at once, and know of no others' questions.
// They don't all ask the same entry, nor the one that holds the pool.
func TestAskersSpread(t *testing.T) {
	is := is.New(t)
	const entries, most = 24, 5
	const cost = endive.Interval(500 * time.Millisecond)
	chosen := make(map[endive.EntryID]int)
	for asker := range entries {
		c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}, pools: make(map[endive.PoolName]*pool)}
		c.Settings.Name = endive.EntryID(fmt.Sprintf("entry-%d", asker))
		held := &pool{name: "svc"}
		held.holder.Store(endive.EntryID("entry-0"))
		c.pools[held.name] = held
		h := newHelpers(c)
		for other := range entries {
			if other != asker {
				h.known[endive.EntryID(fmt.Sprintf("entry-%d", other))] = &helper{}
			}
		}
		now := c.Clock.Now()
		h.known[self].busyUntil = now.Add(time.Second)
		chosen[h.soonest(now, cost)]++
	}
	is.Equal(chosen["entry-0"], 0)
	for _, count := range chosen {
		is.True(count <= most)
	}
}
