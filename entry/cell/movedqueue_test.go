package cell

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// newMovedQueueCluster returns a cluster with two entries and a worker in each of two pools.
func newMovedQueueCluster(t *testing.T) *testCluster {
	r := newTestCluster(t, 1, 2)
	r.otherPool = true
	r.putConfig(4, nil)
	r.addWorkerOf("i-other", "other")
	r.awaitReady()
	return r
}

// moveQuick moves the queue "quick" to another pool and waits until all entries know that.
func (r *testCluster) moveQuick(version int, pool endive.PoolName) {
	r.t.Helper()
	r.quickPool = string(pool)
	r.putConfig(version, nil)
	for _, c := range r.cells {
		r.waitFor("an entry knows the configuration", func() bool {
			p := c.poolNamed(pool)
			return c.Match("a.example", "/quick/", "").Queue.Pool == pool && p != nil && p.currentHolder() != ""
		})
	}
}

// A job's request arrives again after its queue has moved to another pool. It is the same job: it must
// not run in the other pool as well.
func TestResubmissionAfterItsQueueHasMoved(t *testing.T) {
	is := is.New(t)
	r := newMovedQueueCluster(t)
	r.taskDuration = 2 * time.Second
	const id = "00000000000000aa"
	r.submitAccepted(r.cells[0], "/quick/", id, 2, false)
	r.waitFor("the tasks run", func() bool { return len(r.log.lines("ordered", id)) == 2 })
	r.moveQuick(5, "other")
	for _, c := range r.cells {
		r.submitAccepted(c, "/quick/", id, 2, false)
	}
	r.waitFor("the job has succeeded", func() bool { return r.state(r.cells[1], "/quick/", id) == endive.WorkflowSucceeded })
	r.checkInvariants()
	is.Equal(len(r.log.lines("ordered", id)), 2)
}

// After a queue has moved to another pool, the jobs that wait in its former one still count.
func TestPendingCountsFormerPool(t *testing.T) {
	is := is.New(t)
	r := newMovedQueueCluster(t)
	r.taskDuration = 10 * time.Second
	// Each worker has room for a few tasks at a time, so most of the jobs wait.
	for i := range 40 {
		r.submitAccepted(r.cells[0], "/quick/", fmt.Sprintf("%016x", i), 8, false)
	}
	pending := func() int {
		count, err := r.cells[1].Pending(t.Context(), r.cells[1].Match("a.example", "/quick/", "").Queue)
		if err != nil {
			return -1
		}
		return count
	}
	r.waitFor("jobs wait", func() bool { return pending() > 10 })
	before := pending()
	r.moveQuick(5, "other")
	r.waitFor("the count is known", func() bool { return pending() >= 0 })
	is.True(pending() >= before-2)
}

// The pool of a job may be unknown to an entry, which has started after its queue moved and the pool was
// removed. The job must be found and cancelled by its id all the same.
func TestJobInUnknownPoolIsFoundByItsID(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 1, 1)
	r.awaitReady()
	const id = "00000000000000aa"
	for _, write := range flow.SubmitTransaction("removed", nil, id, "", []byte("{}")).Writes {
		table, partition, key := splitRowKey(write.Key)
		is.NoErr(r.store.Put(table, partition, key, json.RawMessage(write.Value)))
	}
	c := r.cells[0]
	is.Equal(r.state(c, "/quick/", id), endive.WorkflowQueued)
	match := c.Match("a.example", "/quick/"+id, "")
	is.NoErr(c.Cancel(t.Context(), match.Queue, match.Caller, id))
	is.True(r.store.Get(splitRowKey(flow.CancelKey("removed", id))) != nil)
	is.Equal(r.submit(c, "/quick/", id, 2, false).AlreadyStored, true)
}
