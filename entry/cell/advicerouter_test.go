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
func TestAdviceAnswerFromOtherEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}}
	router := newAdviceRouter(c)
	sent := &remoteRequest{router: router, tag: 5, target: "entry-2", timer: time.AfterFunc(time.Hour, func() {})}
	router.outstanding[5] = sent
	router.handleAnswer("entry-3", &wire.AdviceAnswer{Tag: 5, Answered: true})
	is.Equal(router.outstanding[5], sent)
	is.Equal(router.removeOutstanding(5, "entry-2"), sent)
	is.Equal(len(router.outstanding), 0)
	is.True(newAdviceRouter(c).lastTag > router.lastTag)
	is.True(newRelayClient(c).lastTag > router.lastTag)
}

// The load: entries that accept work all ask at once, and know of no others' questions.
// They don't all ask the same entry, nor the one that holds the pool.
func TestAdviceRequestsSpreadOverEntries(t *testing.T) {
	is := is.New(t)
	const entries, maxPerEntry = 24, 5
	const cost = endive.Interval(500 * time.Millisecond)
	chosen := make(map[endive.EntryID]int)
	for asker := range entries {
		c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}, pools: make(map[endive.PoolName]*pool)}
		c.Settings.Name = endive.EntryID(fmt.Sprintf("entry-%d", asker))
		p := &pool{name: "svc"}
		p.holder.Store(endive.EntryID("entry-0"))
		c.pools[p.name] = p
		router := newAdviceRouter(c)
		for other := range entries {
			if other != asker {
				router.targets[endive.EntryID(fmt.Sprintf("entry-%d", other))] = &routeTarget{}
			}
		}
		now := c.Clock.Now()
		router.targets[localTarget].busyUntil = now.Add(time.Second)
		chosen[router.fastestTarget(now, cost)]++
	}
	is.Equal(chosen["entry-0"], 0)
	for _, count := range chosen {
		is.True(count <= maxPerEntry)
	}
}

// addOutstanding returns a question that another entry was asked a while ago.
func addOutstanding(c *Cell, to endive.EntryID, step endive.StepID) *remoteRequest {
	router := c.adviceRouter
	now := c.Clock.Now()
	sent := &remoteRequest{
		router: router, tag: 1, target: to, sentAt: now.Add(-time.Second), dueAt: now,
		request: adviceRequest{step: step, workers: []endive.WorkerID{"i-0", "i-1", "i-gone"}, pool: c.poolNamed("svc"), fromHolder: true},
	}
	sent.timer = time.AfterFunc(time.Hour, sent.handleTimeout)
	router.mu.Lock()
	router.outstanding[sent.tag] = sent
	router.mu.Unlock()
	return sent
}

// The load: entries that answer the questions of many, so that answers come later than
// reckoned. Of one that is heard of the answer is waited for; one that is silent isn't
// asked for a while.
func TestTimeoutOfRemoteAdviceRequest(t *testing.T) {
	tests := []struct {
		name   string
		cost   endive.Interval
		heard  bool
		waits  bool
		avoids bool
	}{
		{"a long question, heard of since", longRequestCost, true, true, false},
		{"a quick question, heard of since", longRequestCost - 1, true, false, false},
		{"silent", longRequestCost, false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestCluster(t, 1, 1)
			r.awaitReady()
			c := r.cells[0]
			sent := addOutstanding(c, "entry-9", "00000000000000aa.0.0")
			sent.request.cost = tt.cost
			c.adviceRouter.mu.Lock()
			c.adviceRouter.targets["entry-9"] = &routeTarget{}
			c.adviceRouter.mu.Unlock()
			if tt.heard {
				c.peers.recordReceived("entry-9")
			}
			sent.handleTimeout()
			c.adviceRouter.mu.Lock()
			defer c.adviceRouter.mu.Unlock()
			is.Equal(c.adviceRouter.outstanding[sent.tag] == sent, tt.waits)
			if one := c.adviceRouter.targets["entry-9"]; one != nil {
				is.Equal(!one.skipUntil.IsZero(), tt.avoids)
			}
		})
	}
}

// An answer that comes after its question was given up still tells which workers are good.
func TestLateAdviceAnswerIsUsed(t *testing.T) {
	r := newTestCluster(t, 2, 1)
	r.awaitReady()
	c := r.holder()
	r.waitFor("the holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 1 })
	r.submitAccepted(c, "/slow/", "00000000000000aa", 1, false)
	sent := addOutstanding(c, "entry-9", "00000000000000aa.0.0")
	sent.giveUp(false)
	c.adviceRouter.handleAnswer("entry-9", &wire.AdviceAnswer{
		Tag: sent.tag, Answered: true, Good: []*wire.AdviceGrant{{Worker: "i-1", Ticket: "late"}}, ValidityMillis: 2000,
	})
	r.waitFor("the answer is taken", func() bool { return len(r.log.lines("00000000000000aa.0.0: 1 good, 2 bad")) == 1 })
}
