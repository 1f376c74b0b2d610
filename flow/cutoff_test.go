package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A worker is cut off from the holder and from the platform. Its address refuses connections, or leaves them
// unanswered, and the platform doesn't list it any more, but it runs on until its leases expire. Its tasks
// must not start elsewhere before, with the same holder and after a takeover, also if the worker had announced
// that it would leave.
func TestUnlistedWorkerThatRefusesRunsOn(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		for _, draining := range []bool{false, true} {
			for _, takeover := range []bool{false, true} {
				t.Run(fmt.Sprintf("refuses=%v draining=%v takeover=%v", refuses, draining, takeover), func(t *testing.T) {
					playCutOff(t, refuses, draining, takeover)
				})
			}
		}
	}
}

func playCutOff(t *testing.T, refuses, draining, takeover bool) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 2)
	id := w.submit("job", urgentQueue, stepOfTasks(8, 7*time.Second))
	w.run(2 * time.Second)
	worker := w.workers["w0"]
	if draining {
		worker.info.Draining = true
		w.publishWorkers()
		w.run(2100 * time.Millisecond)
	}
	// It renewed its registration for the last time a moment before the cut.
	worker.terminated, worker.poweredOff = refuses, !refuses
	w.run(3 * time.Second)
	worker.unlisted = true
	w.publishWorkers()
	if takeover {
		h.kill()
		w.startHolder()
	}
	w.run(10 * time.Second)
	worker.terminated, worker.poweredOff, worker.unlisted, worker.info.Draining = false, false, false, false
	w.publishWorkers()
	w.run(40 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
}

// A worker that was cut off and answers again hasn't crashed. What it ran isn't suspected of crashing its
// workers: such a task would wait until it can start alone, and its workflow might be given up.
func TestCutOffWorkerDoesNotCountAsCrashed(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprintf("longRunning=%v", longRunning), func(t *testing.T) {
			is := is.New(t)
			w, h := newSimulationWithHolder(t, faults{}, 2)
			step := stepOfTasks(4, 30*time.Second)
			step.LongRunning = longRunning
			id := w.submit("job", urgentQueue, step)
			w.run(2 * time.Second)
			for range 3 {
				worker := w.workerWithRuns()
				worker.terminated = true
				w.run(w.now.Add(3 * time.Second).Sub(w.start))
				worker.unlisted = true
				w.publishWorkers()
				w.run(w.now.Add(5 * time.Second).Sub(w.start))
				worker.terminated, worker.unlisted = false, false
				w.publishWorkers()
				w.run(w.now.Add(2 * time.Second).Sub(w.start))
			}
			for _, task := range h.machine.jobs[id].active[0].steps[0].tasks {
				is.Equal(task.crashes.total(), 0)
				is.True(!task.crashes.suspected())
			}
			is.Equal(w.runningTasks(id), 4)
			w.checkViolations()
		})
	}
}
