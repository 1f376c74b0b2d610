package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// An entry that holds no pool polls the list of workers rarely. When it becomes the holder of
// a pool, it must not start runs on workers that began to drain since its last poll.
func TestNewHolderRefreshesWorkerList(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 3, 1)
	r.awaitReady()
	first := r.holder()
	r.poll = endive.Interval(time.Minute)
	second := r.addEntry("entry-1")
	r.waitFor("the second entry has read the list of workers", func() bool {
		workers, ok := second.workers.forAdvice("svc")
		return ok && len(workers) == 3 && second.poolNamed("svc") != nil
	})
	is.NoErr(r.workers[0].Register(r.store, 2, true))
	first.Drain()
	r.waitFor("the pool is handed over", func() bool { return second.poolNamed("svc").holding.Load() })
	r.waitFor("all workers have answered", func() bool { return len(r.log.lines(`"settled"`, `"entry-1"`)) == 1 })
	r.submitAccepted(second, "/quick/", "00000000000000aa", 6, false)
	r.waitFor("the workflow has succeeded", func() bool { return r.state(second, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	is.Equal(len(r.log.lines("00000000000000aa", `"ordered"`)), 6)
	is.Equal(len(r.log.lines("00000000000000aa", `"ordered"`, `"i-0"`)), 0)
	r.checkInvariants()
}

// Many workers renew their registrations, with more changes than one response of the feed can
// hold. The holder must still catch up with these changes.
func TestHolderKeepsUpWithManyWorkers(t *testing.T) {
	is := is.New(t)
	const workers, heartbeats = 700, 4
	r := newTestCluster(t, 1, 0)
	// The entry doesn't poll the list itself; the test does.
	r.poll = endive.Interval(time.Minute)
	r.addEntry("entry-0")
	r.awaitReady()
	c := r.holder()
	r.waitFor("the holder has read the list", func() bool { return len(r.log.lines(`"settled"`)) == 1 })
	for heartbeat := range heartbeats {
		for i := range workers {
			r.putRow("servers", fmt.Sprintf("i-many-%03d", i), map[string]any{
				"service": "svc", "address": "127.0.0.1:1", "zone": "zone-1", "state": "ready", "seq": heartbeat, "born": 1,
				"capacity": map[string]any{"cpu": 0, "mem_mb": 0},
			})
		}
	}
	is.NoErr(r.workers[0].Register(r.store, 2, true))
	response, err := c.Directory.Workers(t.Context(), c.workers.readFrom())
	is.NoErr(err)
	is.True(response.More)
	reads := 0
	for c.workers.readNext(c.workers.readFrom()) {
		reads++
		is.True(reads < workers*heartbeats/100) // the reads must catch up with the changes
	}
	r.waitFor("the holder lists the first worker as draining", func() bool {
		for _, w := range listedWorkers(c) {
			if w.ID == "i-0" {
				return w.Draining
			}
		}
		return false
	})
}

func listedWorkers(c *Cell) []endive.FleetWorker {
	workers, _ := c.workers.inPool("svc")
	return workers
}
