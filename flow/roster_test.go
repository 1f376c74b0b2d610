package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// In a pool of 3000 workers, no row that the holder writes may exceed the store's limit, and
// adding a worker must write only one row of the roster.
func TestRosterRowSize(t *testing.T) {
	is := is.New(t)
	const workers, rowBytes = 3000, 64 << 10
	w := newSimulation(t, 1, faults{})
	for i := range workers {
		worker := &fakeWorker{sim: w, id: endive.WorkerID(fmt.Sprintf("i-%010x", i))}
		worker.startIncarnation(endive.Resources{Processors: 32000}, nil)
		worker.info.Address = endive.Address(fmt.Sprintf("10.201.%d.%d:12345", i/256, i%256))
		w.workers[worker.id] = worker
	}
	w.publishWorkers()
	h := w.startHolder()
	w.run(2 * time.Second)
	for key, row := range w.rows {
		if len(row.Value) > rowBytes {
			t.Fatalf("%s has %d bytes", key, len(row.Value))
		}
	}
	is.Equal(len(h.machine.recorder.roster), workers)
	before := w.version
	w.addWorker("i-new", endive.Resources{Processors: 32000})
	w.run(3 * time.Second)
	is.Equal(h.machine.recorder.roster["i-new"].status, rosterPresent)
	written := 0
	for key, row := range w.rows {
		if row.Version > before && len(key) > len(RosterPrefix(testPool)) && key[:len(RosterPrefix(testPool))] == RosterPrefix(testPool) {
			written++
		}
	}
	is.Equal(written, 1)
	second := w.startHolder()
	w.run(10 * time.Second)
	is.Equal(len(second.machine.recorder.roster), workers+1)
}

// A holder fails while workers that were about to leave are silent. The roster lists the tasks
// there: only these wait until their leases have expired, and other work goes on, also of an
// account with a cap.
func TestTakeoverKnowsTasksOfDrainingWorkers(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.accounts = faultAccounts()
	w.addWorkers(4)
	h := w.startHolder()
	w.run(time.Second)
	long := stepOfTasks(4, 20*time.Second)
	long.Checkpoints = true
	long.Need.Processors = 500
	w.submitFor("a", "long", urgentQueue, long)
	w.run(1500 * time.Millisecond)
	is.Equal(w.runningTasks("long"), 4)
	leaving := w.workers["w0"]
	leaving.info.Draining, leaving.info.LeavesIn = true, endive.Interval(time.Minute)
	w.publishWorkers()
	w.run(1700 * time.Millisecond)
	leaving.unreachable = true
	h.kill()
	w.submitFor("a", "waiting", urgentQueue, stepOfTasks(3, 700*time.Millisecond))
	w.run(1800 * time.Millisecond)
	w.startHolder()
	w.submitFor("a", "later", urgentQueue, stepOfTasks(3, 700*time.Millisecond))
	w.run(2100 * time.Millisecond)
	is.Equal(w.runningTasks("waiting"), 3)
	is.Equal(w.runningTasks("later"), 3)
	w.run(40 * time.Second)
	w.checkViolations()
	for _, id := range []endive.JobID{"long", "waiting", "later"} {
		is.Equal(w.state(id), endive.WorkflowSucceeded)
	}
}

// A worker that was draining is used again, after a restart under the same id. The roster must
// say so before anything is started there.
func TestRosterOfRestartedDrainingWorker(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	worker := w.workers["w0"]
	worker.info.Draining = true
	w.publishWorkers()
	w.run(1500 * time.Millisecond)
	is.Equal(h.machine.recorder.roster["w0"].status, rosterDraining)
	worker.restart()
	worker.info.Draining = false
	w.publishWorkers()
	w.run(2 * time.Second)
	is.Equal(h.machine.recorder.roster["w0"].status, rosterPresent)
	w.submit("job", urgentQueue, stepOfTasks(1, 300*time.Millisecond))
	w.run(4 * time.Second)
	is.Equal(w.state("job"), endive.WorkflowSucceeded)
}
