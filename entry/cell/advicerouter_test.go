package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// An answer to a request of an earlier run of this entry must not complete a request to
// another entry that has the same tag. A new run must not reuse the tags of an earlier one.
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

// All entries that accept work send requests at the same time and don't know of the requests
// of the others. They must not all choose the same entry, nor the pool's holder.
func TestAdviceRequestsSpreadOverEntries(t *testing.T) {
	is := is.New(t)
	const entries, maxPerEntry = 24, 5
	const cost = endive.Interval(500 * time.Millisecond)
	chosen := make(map[endive.EntryID]int)
	for requester := range entries {
		c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}, pools: make(map[endive.PoolName]*pool)}
		c.Settings.Name = endive.EntryID(fmt.Sprintf("entry-%d", requester))
		p := &pool{name: "svc"}
		p.holder.Store(endive.EntryID("entry-0"))
		c.pools[p.name] = p
		router := newAdviceRouter(c)
		for other := range entries {
			if other != requester {
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

// addOutstanding adds and returns a request that was sent to another entry a second ago.
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

// Entries process the requests of many others, so that answers come later than estimated. If
// messages of the queried entry still arrive, the router must wait longer for the answer to a
// long request; to a silent entry it must send no requests for a while.
func TestTimeoutOfRemoteAdviceRequest(t *testing.T) {
	tests := []struct {
		name            string
		cost            endive.Interval
		receivedSince   bool
		wantOutstanding bool
		wantSkipped     bool
	}{
		{"long request, responsive entry", longRequestCost, true, true, false},
		{"short request, responsive entry", longRequestCost - 1, true, false, false},
		{"silent entry", longRequestCost, false, false, true},
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
			if tt.receivedSince {
				c.peers.recordReceived("entry-9")
			}
			sent.handleTimeout()
			c.adviceRouter.mu.Lock()
			defer c.adviceRouter.mu.Unlock()
			is.Equal(c.adviceRouter.outstanding[sent.tag] == sent, tt.wantOutstanding)
			if target := c.adviceRouter.targets["entry-9"]; target != nil {
				is.Equal(!target.skipUntil.IsZero(), tt.wantSkipped)
			}
		})
	}
}

// An answer that arrives after its request has timed out must still reach the holder,
// because the list of eligible workers in the answer is valid.
func TestLateAdviceAnswerIsUsed(t *testing.T) {
	r := newTestCluster(t, 2, 1)
	r.awaitReady()
	c := r.holder()
	r.waitFor("the holder has loaded its snapshot", func() bool { return len(r.log.lines(`"loaded"`)) == 1 })
	r.submitAccepted(c, "/slow/", "00000000000000aa", 1, false)
	// Of the answers that arrive before the workflow, the holder keeps only the last one.
	r.waitFor("the holder has the workflow", func() bool { return len(r.log.lines("00000000000000aa", `"outcome":"taken up"`)) == 1 })
	sent := addOutstanding(c, "entry-9", "00000000000000aa.0.0")
	sent.giveUp(false)
	c.adviceRouter.handleAnswer("entry-9", &wire.AdviceAnswer{
		Tag: sent.tag, Answered: true, Good: []*wire.AdviceGrant{{Worker: "i-1", Ticket: "late"}}, ValidityMillis: 2000,
	})
	r.waitFor("the holder applies the answer", func() bool { return len(r.log.lines("00000000000000aa.0.0: 1 good, 2 bad")) == 1 })
}
