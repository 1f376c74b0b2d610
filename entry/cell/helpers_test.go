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

// askedOf returns a question that another entry was asked a while ago.
func askedOf(c *Cell, to endive.EntryID, step endive.StepID) *helped {
	h := c.helpers
	now := c.Clock.Now()
	asked := &helped{
		helpers: h, tag: 1, to: to, sentAt: now.Add(-time.Second), dueAt: now,
		question: question{step: step, workers: []endive.WorkerID{"i-0", "i-1", "i-gone"}, pool: c.poolNamed("svc"), own: true},
	}
	asked.timer = time.AfterFunc(time.Hour, asked.overdue)
	h.mu.Lock()
	h.waiting[asked.tag] = asked
	h.mu.Unlock()
	return asked
}

// The load: entries that answer the questions of many, so that answers come later than
// reckoned. Of one that is heard of the answer is waited for; one that is silent isn't
// asked for a while.
func TestBusyHelperIsWaitedFor(t *testing.T) {
	tests := []struct {
		name   string
		cost   endive.Interval
		heard  bool
		waits  bool
		avoids bool
	}{
		{"a long question, heard of since", longQuestion, true, true, false},
		{"a quick question, heard of since", longQuestion - 1, true, false, false},
		{"silent", longQuestion, false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 1, 1)
			r.ready()
			c := r.cells[0]
			asked := askedOf(c, "entry-9", "00000000000000aa.0.0")
			asked.question.cost = tt.cost
			c.helpers.mu.Lock()
			c.helpers.known["entry-9"] = &helper{}
			c.helpers.mu.Unlock()
			if tt.heard {
				c.peers.hear("entry-9")
			}
			asked.overdue()
			c.helpers.mu.Lock()
			defer c.helpers.mu.Unlock()
			is.Equal(c.helpers.waiting[asked.tag] == asked, tt.waits)
			if one := c.helpers.known["entry-9"]; one != nil {
				is.Equal(!one.avoidUntil.IsZero(), tt.avoids)
			}
		})
	}
}

// An answer that comes after its question was given up still tells which workers are good.
func TestLateAnswerCounts(t *testing.T) {
	r := newRig(t, 2, 1)
	r.ready()
	c := r.holder()
	r.until("the holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 1 })
	r.accept(c, "/slow/", "00000000000000aa", 1, false)
	asked := askedOf(c, "entry-9", "00000000000000aa.0.0")
	asked.expire(false)
	c.helpers.answered("entry-9", &wire.AdviceAnswer{
		Tag: asked.tag, Answered: true, Good: []*wire.AdviceGrant{{Worker: "i-1", Ticket: "late"}}, ValidityMillis: 2000,
	})
	r.until("the answer is taken", func() bool { return len(r.log.lines("00000000000000aa.0.0: 1 good, 2 bad")) == 1 })
}
