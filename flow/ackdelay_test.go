package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An idle worker lists the end of a stopped run, which needs no record. It must be acknowledged at once: a number that is
// sent a second later may reach the worker's next incarnation, which would forget an end of its own.
func TestEndOfIdleWorkerIsAcknowledgedAtOnce(t *testing.T) {
	is := is.New(t)
	w, _ := newLoneWorkerSimulation(t)
	worker := w.workers["w0"]
	id := w.submit("job", urgentQueue, stepOfTasks(1, 10*time.Second))
	w.run(30500 * time.Millisecond)
	w.cancel(id)
	for len(worker.ends) == 0 {
		w.run(w.now.Add(time.Millisecond).Sub(w.start))
	}
	w.run(w.now.Add(50 * time.Millisecond).Sub(w.start))
	is.Equal(len(worker.ends), 0)
}
