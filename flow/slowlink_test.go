package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The link to all workers is congested: the answers to orders come later than the holder waits for them, and
// polls are answered. Each task must be started once and go on, and not be stopped because the order
// to start it wasn't answered.
func TestStartsOverCongestedLinkAreNotGivenUp(t *testing.T) {
	for _, oneWay := range []time.Duration{220 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 600 * time.Millisecond} {
		for _, longRunning := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s longRunning=%v", oneWay, longRunning), func(t *testing.T) {
				is := is.New(t)
				w, _ := newSimulationWithHolder(t, faults{}, 2)
				for _, worker := range w.workers {
					worker.slowLink = oneWay
				}
				step := stepOfTasks(4, 4*time.Second)
				step.LongRunning = longRunning
				id := w.submit("job", urgentQueue, step)
				w.run(4 * time.Second)
				is.Equal(w.runningTasks(id), 4)
				w.run(12 * time.Second)
				w.checkViolations()
				is.Equal(w.starts, 4)
				if !longRunning {
					is.Equal(w.state(id), endive.WorkflowSucceeded)
				}
			})
		}
	}
}

// A poll has shown that a task runs while the order to start it, which was repeated, is in flight. The
// repeated order can't be sent. The run must not be taken as not started: its task would be started elsewhere.
func TestRunShownByPollIsKeptWhenRepeatedStartIsNotSent(t *testing.T) {
	for _, unsentFrom := range []int{2, 3} {
		t.Run(fmt.Sprintf("order %d isn't sent", unsentFrom), func(t *testing.T) {
			is := is.New(t)
			w, _ := newSimulationWithHolder(t, faults{}, 2)
			for _, worker := range w.workers {
				worker.slowLink, worker.unsentFrom = 230*time.Millisecond, unsentFrom
			}
			id := w.submit("job", urgentQueue, stepOfTasks(1, 4*time.Second))
			w.run(12 * time.Second)
			w.checkViolations()
			is.Equal(w.state(id), endive.WorkflowSucceeded)
			is.Equal(w.starts, 1)
		})
	}
}
