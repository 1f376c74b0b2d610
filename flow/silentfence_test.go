package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An order to start gets no answer, is repeated, and its task ends. The worker restarts: a poll fails, the next one is answered,
// and then the worker is cut off, before it gets another call. It must refuse the first order, which arrives only now.
func TestFirstAnswerOfNextIncarnationFencesLateOrders(t *testing.T) {
	is := is.New(t)
	w, _ := newLoneWorkerSimulation(t)
	worker := w.workers["w0"]
	w.faults.lateOrder, w.lateness = 1, maxLateness-time.Second
	id := w.submit("job", urgentQueue, stepOfTasks(1, time.Second))
	w.run(30050 * time.Millisecond)
	w.faults.lateOrder = 0
	w.run(34 * time.Second)
	is.Equal(w.runningTasks(id), 0) // the repeated order was carried out, and the task has ended
	is.Equal(w.starts, 1)
	worker.unreachable = true
	w.run(35 * time.Second)
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	worker.unreachable = false
	for worker.epoch == 0 {
		w.run(w.now.Add(time.Millisecond).Sub(w.start))
	}
	worker.unreachable = true
	w.run(60 * time.Second)
	is.True(!worker.seenAt.IsZero())
	is.True(worker.fenceableAt.IsZero()) // no call has reached the incarnation since a holder learned of it
	w.checkViolations()
	is.Equal(w.starts, 1)
	is.Equal(len(w.unfencedStarts), 0)
}
