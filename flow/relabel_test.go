package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A worker crashes and is back under its id as one of another kind, before its new registration is listed.
// It must get no task for its former label and none beyond its new capacity.
func TestNewIncarnationIsNotTakenForFormerKind(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	worker := w.addWorker("w0", testCapacity, "fast")
	w.startHolder()
	w.run(time.Second)
	labelled := stepOfTasks(2, time.Second)
	labelled.Label = "fast"
	first := w.submit("first", urgentQueue, labelled)
	w.run(3 * time.Second)
	is.Equal(w.state(first), endive.WorkflowSucceeded)
	smaller := testCapacity
	smaller.Processors = 3000
	worker.startIncarnation(smaller, []endive.Label{"slow"})
	// A poll shows the new incarnation, and its registration is listed late.
	w.run(7 * time.Second)
	second := w.submit("second", urgentQueue, labelled)
	plain := w.submit("plain", urgentQueue, stepOfTasks(3, 500*time.Millisecond))
	w.run(10 * time.Second)
	is.Equal(w.runningTasks(second), 0)
	is.Equal(w.runningTasks(plain), 0)
	w.publishWorkers()
	w.run(15 * time.Second)
	w.checkViolations()
	is.Equal(w.state(second), endive.WorkflowQueued)
	is.Equal(w.state(plain), endive.WorkflowSucceeded)
}
