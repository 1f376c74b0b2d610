package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A poll that acknowledges an end is lost, and the worker has nothing else to do. The end must be acknowledged nevertheless: as
// long as a worker lists more ends than fit an answer, a takeover doesn't end.
func TestLostAcknowledgementOfIdleWorkerIsNeverRepeated(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	worker := w.workers["w0"]
	id := w.submit("job", urgentQueue, stepOfTasks(1, 700*time.Millisecond))
	for len(worker.ends) == 0 {
		w.run(w.now.Add(time.Millisecond).Sub(w.start))
	}
	w.run(w.now.Add(5 * time.Millisecond).Sub(w.start))
	worker.unreachable = true
	w.run(w.now.Add(1500 * time.Millisecond).Sub(w.start))
	worker.unreachable = false
	w.run(time.Minute)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(h.machine.workers["w0"].lastEnd, endive.EndNumber(1))
	is.Equal(len(worker.ends), 0)
}
