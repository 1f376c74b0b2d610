package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// userMaxLease is the limit to which the users' workers shorten longer leases.
const userMaxLease = endive.Interval(6 * time.Second)

// longRunningRestart is by when a long-running task must run again after its worker is gone: 6 s after its last run, while the
// 3 s and the 4 s before are calm.
const longRunningRestart = 9 * time.Second

// newSimulationWithUserLeases returns a simulation with one worker and a holder, and the longest leases of the users.
func newSimulationWithUserLeases(t *testing.T) (*simulation, *holder) {
	t.Helper()
	w := newSimulation(t, 1, faults{})
	w.trace, w.renewals = *followTasks, true
	w.addWorkers(1)
	h := w.startHolder()
	h.machine.settings.MaxLeaseDuration = userMaxLease
	return w, h
}

// longRunningStep returns a step with one long-running task.
func longRunningStep() endive.Step {
	step := stepOfTasks(1, time.Second)
	step.LongRunning = true
	return step
}

// restartUnreachable restarts the worker w0, which is listed and never answers again, beside another one.
func (w *simulation) restartUnreachable() {
	worker := w.workers["w0"]
	worker.restart()
	worker.unreachable = true
	w.addWorker("w9", testCapacity, endive.Label("rack0"))
}

// A worker crashes for good while an order to start a long-running task is in flight. The task waits for a later incarnation
// that nothing has shown.
func TestUnansweredStartOnCrashedWorkerDelaysLongRunningTask(t *testing.T) {
	is := is.New(t)
	w, _ := newSimulationWithUserLeases(t)
	w.run(30 * time.Second)
	worker := w.workers["w0"]
	worker.ordersUnanswered = true
	w.submit("job", urgentQueue, longRunningStep())
	w.run(30*time.Second + 8*time.Millisecond)
	is.Equal(w.starts, 1)
	worker.terminate()
	w.addWorker("w9", testCapacity, endive.Label("rack0"))
	w.run(30*time.Second + longRunningRestart)
	is.Equal(w.starts, 2)
}

// A worker restarts, is listed, and never answers again. The former incarnation had listed the run, so that no
// incarnation can have it now, but the task waits for the longest lease after the latest call to the worker.
func TestRunOfEndedIncarnationDelaysLongRunningTask(t *testing.T) {
	is := is.New(t)
	w, _ := newSimulationWithUserLeases(t)
	w.submit("job", urgentQueue, longRunningStep())
	w.run(30 * time.Second)
	is.Equal(w.starts, 1)
	w.restartUnreachable()
	w.run(30*time.Second + longRunningRestart)
	is.Equal(w.starts, 2)
}

// Workers are lost for good, one after the other, under a long-running task. Nothing ever proves that they have crashed, also
// to the next holder: the task must not wait for that.
func TestWorkersLostForGoodDelayLongRunningTask(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover=%v", takeover), func(t *testing.T) {
			is := is.New(t)
			w, h := newSimulationWithUserLeases(t)
			for i := range maxAllCrashes + 3 {
				w.addWorker(fmt.Sprint("spare", i), testCapacity, endive.Label("rack0"))
			}
			id := w.submit("job", urgentQueue, longRunningStep())
			for lost := range maxAllCrashes + 2 {
				worker := w.runToStart("job.0.0.0", longRunningRestart)
				is.True(worker != nil) // the task runs again
				w.run(w.now.Add(2 * time.Second).Sub(w.start))
				if takeover && lost == maxAllCrashes-1 {
					h.kill()
					w.startHolder()
					w.run(w.now.Add(30 * time.Second).Sub(w.start))
				}
				worker.terminate()
			}
			is.True(w.runToStart("job.0.0.0", longRunningRestart) != nil)
			is.Equal(w.state(id), endive.WorkflowRunning)
			w.checkViolations()
		})
	}
}

// A worker restarts, is listed, and never answers again, while two of its runs are being stopped. An order to stop has no
// lease, but the third task waits as long as one of them is in flight: for ever.
func TestStopsInFlightKeepRunsForEver(t *testing.T) {
	is := is.New(t)
	w, _ := newSimulationWithUserLeases(t)
	first := w.submit("first", urgentQueue, stepOfTasks(1, 200*time.Second))
	second := w.submit("second", urgentQueue, stepOfTasks(1, 200*time.Second))
	w.submit("job", urgentQueue, longRunningStep())
	w.run(30 * time.Second)
	is.Equal(w.starts, 3)
	w.restartUnreachable()
	w.cancel(first)
	w.run(30250 * time.Millisecond)
	w.cancel(second)
	w.run(2 * time.Minute)
	is.Equal(w.starts, 4)
}
