package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// An order to start gets no answer. The worker restarts unseen and is cut off, and the pool changes its holder. Then the
// worker carries the order out, with a lease by its former clock. The next holder knows neither the order nor the restart,
// and must not start the task elsewhere before the longest lease that a late call may have granted has expired.
func TestTakeoverAfterLateOrderToUnseenIncarnation(t *testing.T) {
	skipKnownRed(t)
	for _, tt := range replacements {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, h := newLoneWorkerSimulation(t)
			worker := w.workers["w0"]
			w.faults.lateOrder, w.lateness = 1, maxLateness-time.Second
			w.submit("job", urgentQueue, stepOfTasks(1, 30*time.Second))
			w.run(30050 * time.Millisecond)
			w.faults.lateOrder = 0
			worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
			w.cutOffBeside(worker)
			w.run(32 * time.Second)
			tt.replace(h)
			w.run(90 * time.Second)
			w.checkViolations()
			is.True(w.starts >= 2) // the late start, and one elsewhere after its lease
		})
	}
}

// An order to start gets no answer. The worker restarts, and its fencing token proves that the next incarnation doesn't have
// the run. Then it restarts again, as the platform's list shows, and is cut off, so that no token reaches this incarnation,
// which carries the order out late. Until it surely can't any more, the task must not start elsewhere.
func TestLateOrderReachesIncarnationAfterFencedOne(t *testing.T) {
	for name, step := range map[string]endive.Step{"a task": stepOfTasks(1, 30*time.Second), "a gang": gangOf(2, 30*time.Second)} {
		t.Run(name, func(t *testing.T) { checkLateOrderAfterFence(t, step) })
	}
}

func checkLateOrderAfterFence(t *testing.T, step endive.Step) {
	t.Helper()
	is := is.New(t)
	w, _ := newLoneWorkerSimulation(t)
	worker := w.workers["w0"]
	w.faults.lateOrder, w.lateness = 1, maxLateness-2*time.Second
	w.submit("job", urgentQueue, step)
	w.run(30050 * time.Millisecond)
	w.faults.lateOrder = 0
	worker.unreachable = true
	w.run(32 * time.Second)
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	worker.unreachable = false
	for worker.fenceableAt.IsZero() {
		w.run(w.now.Add(time.Millisecond).Sub(w.start))
	}
	w.run(w.now.Add(10 * time.Millisecond).Sub(w.start))
	is.Equal(w.starts, 0)
	worker.unreachable = true
	worker.restart()
	w.run(34 * time.Second)
	w.addWorker("w9", testCapacity, endive.Label("rack0"))
	w.run(90 * time.Second)
	w.checkViolations()
	is.Equal(len(w.unfencedStarts), 0)
	is.True(w.starts >= 2*step.Tasks) // the late starts, and others elsewhere after their leases
}
