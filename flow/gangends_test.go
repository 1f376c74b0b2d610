package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A late order starts a member of a former run of a gang, which waits in vain for the others of that run, or is stopped. Its
// end says nothing of the run that goes on.
func TestEndOfFormerRunDoesntAbortGang(t *testing.T) {
	for _, kind := range []endive.EndKind{endive.EndGangIncomplete, endive.EndGangBroken, endive.EndStopped, endive.EndLeaseExpired} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			w, _ := newSimulationWithHolder(t, faults{}, 4)
			id := w.submit("job", urgentQueue, gangOf(3, 3*time.Second))
			w.endRuns(id, 3, endive.EndStopped)
			w.wait(time.Second)
			is.Equal(w.runningTasks(id), 3) // a second time
			starts, former := w.starts, &fakeRun{task: "job.0.0.0", number: 1, gang: true}
			worker := w.workerWithout("job.0.0.0")
			worker.runs[former.task] = former
			worker.end(former, kind)

			w.wait(4 * time.Second)

			is.Equal(w.state(id), endive.WorkflowSucceeded)
			is.Equal(w.starts, starts)
		})
	}
}

// workerWithout returns a worker on which a task doesn't run.
func (w *simulation) workerWithout(task endive.TaskID) *fakeWorker {
	for _, worker := range w.workers {
		if worker.runs[task] == nil {
			return worker
		}
	}
	return nil
}
