package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An order to start gets no answer. The worker restarts unseen and is cut off, and the pool changes its holder. Then the
// worker carries the order out, with a lease by its former clock. The next holder knows neither the order nor the restart,
// and must not start the task elsewhere before the longest lease that a late call may have granted has expired.
func TestTakeoverAfterLateOrderToUnseenIncarnation(t *testing.T) {
	for _, how := range []string{"killed", "hands over"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1, faults{})
			w.trace, w.renewals = *followTasks, true
			w.addWorkers(1)
			h := w.startHolder()
			w.run(30 * time.Second)
			worker := w.workers["w0"]
			w.faults.lateOrder, w.lateness = 1, maxLateness-time.Second
			w.submit("job", urgentQueue, stepOfTasks(1, 30*time.Second))
			w.run(30050 * time.Millisecond)
			w.faults.lateOrder = 0
			worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
			w.cutOffBeside(worker)
			w.run(32 * time.Second)
			if how == "killed" {
				h.kill()
				w.startHolder()
			} else {
				h.handOver()
			}
			w.run(90 * time.Second)
			w.checkViolations()
			is.True(w.starts >= 2) // the late start, and one elsewhere after its lease
		})
	}
}
