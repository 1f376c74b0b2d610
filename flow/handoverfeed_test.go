package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A holder is replaced before its lease ends, and starts a workflow that the next one hasn't read when it hands the pool
// over. The third one reads the workflow from the feed. The workflow was accepted before its tenure, so its tasks may be on a
// worker that doesn't answer, and must not start elsewhere.
func TestWorkflowUnreadAtHandOverMayHaveStarted(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.trace, w.scansFirst = *followTasks, true
	w.addWorkers(1)
	first := w.startHolder()
	w.run(2 * time.Second)
	leaseEnd := w.now.Add(time.Second)
	first.machine.tenure.leaseEnd = leaseEnd
	w.loadDuration = 200 * time.Millisecond
	second := w.startHolderBefore(leaseEnd)
	second.feedDelay = time.Second
	w.run(2010 * time.Millisecond)
	w.submit("job", urgentQueue, stepOfTasks(1, 2*time.Second))
	w.run(2020 * time.Millisecond)
	is.Equal(w.starts, 1)
	w.workers["w0"].answersLost = true
	w.addWorker("w9", testCapacity)
	w.run(2300 * time.Millisecond)
	second.handOver()
	w.run(6 * time.Second)
	w.checkViolations()
	is.Equal(w.starts, 1)
}
