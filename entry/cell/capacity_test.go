package cell

import (
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/platform/stand"
)

// threeTasks is a capacity for three of the tasks that submit submits.
var threeTasks = stand.Capacity{Processors: 3000, MemoryMB: 65536}

// register changes the capacity of a worker and registers it again.
func (r *testCluster) register(worker *stand.Worker, seq int, capacity stand.Capacity) {
	r.t.Helper()
	worker.SetCapacity(capacity)
	if err := worker.Register(r.store, seq, false); err != nil {
		r.t.Fatal(err)
	}
}

// mostAtOnce returns the largest number of tasks that ran at the same time since the last call.
func (r *testCluster) mostAtOnce() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := r.mostRunning
	r.mostRunning = len(r.running)
	return most
}

// A worker shrinks while the holder runs, and grows again. No start may exceed the capacity that it
// registers, and the log must show the change.
func TestStartExceedsShrunkCapacity(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 1, 1)
	r.awaitReady()
	c := r.holder()
	r.submitAccepted(c, "/quick/", "00000000000000aa", 8, false)
	r.waitFor("the first workflow has succeeded", func() bool { return r.state(c, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	is.Equal(r.mostAtOnce(), 8)
	r.register(r.workers[0], 2, threeTasks)
	r.waitFor("the log shows the change", func() bool { return len(r.log.lines(`"capacity changed"`, `"i-0"`)) == 1 })
	r.submitAccepted(c, "/quick/", "00000000000000bb", 8, false)
	r.waitFor("the second workflow has succeeded", func() bool { return r.state(c, "/quick/", "00000000000000bb") == endive.WorkflowSucceeded })
	is.Equal(r.mostAtOnce(), 3)
	r.register(r.workers[0], 3, stand.DefaultCapacity)
	r.waitFor("the log shows the second change", func() bool { return len(r.log.lines(`"capacity changed"`, `"i-0"`)) == 2 })
	r.submitAccepted(c, "/quick/", "00000000000000cc", 8, false)
	r.waitFor("the third workflow has succeeded", func() bool { return r.state(c, "/quick/", "00000000000000cc") == endive.WorkflowSucceeded })
	is.Equal(r.mostAtOnce(), 8)
	r.checkInvariants()
}
