package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// workerWithRuns returns the worker that runs a task.
func (w *simulation) workerWithRuns() *fakeWorker {
	for _, worker := range w.workers {
		if len(worker.runs) > 0 {
			return worker
		}
	}
	w.t.Fatal("no worker runs a task")
	return nil
}

// The network between the holder and a worker is congested: polls reach the worker, but its answers
// arrive too late. A run on it succeeds, and the worker lists that. The task must not start on
// another worker while the platform hears the worker.
func TestSucceededTaskStartsAgainBehindSlowLink(t *testing.T) {
	is := is.New(t)
	w, _, id := newSimulationWithRun(t, 2)
	worker := w.workerWithRuns()
	worker.answersLost = true
	w.run(8 * time.Second)
	is.Equal(w.successCount["job.0.0.0"], 1)
	worker.answersLost = false
	w.run(12 * time.Second)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 1)
}
