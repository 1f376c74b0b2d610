package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A worker restarts under the same id, and before the holder knows it, an order to start is sent with a lease by
// the clock of the earlier incarnation. The order gets no answer, is repeated, and is also carried out seconds later.
// It extends all leases of the worker then, which is cut off. Its tasks must not start elsewhere before their end.
func TestLateOrderExtendsLeasesOfNextIncarnation(t *testing.T) {
	is := is.New(t)
	w, _ := newLoneWorkerSimulation(t)
	worker := w.workers["w0"]
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	w.faults.lateOrder = 1
	w.submit("first", urgentQueue, stepOfTasks(1, 700*time.Millisecond))
	w.run(30050 * time.Millisecond)
	w.faults.lateOrder = 0
	w.run(31 * time.Second)
	w.publishWorkers()
	w.run(32 * time.Second)
	w.submit("second", urgentQueue, stepOfTasks(1, 30*time.Second))
	w.run(32100 * time.Millisecond)
	is.True(worker.runs["second.0.0.0"] != nil)
	is.Equal(worker.incarnation, 2)
	worker.terminated, worker.answersLost = true, true
	w.addWorker("w1", testCapacity, endive.Label("rack0"))
	w.run(33 * time.Second)
	worker.unlisted = true
	w.publishWorkers()
	w.run(80 * time.Second)
	w.checkViolations()
	is.True(w.starts >= 3) // the task starts again once the leases have expired
}
