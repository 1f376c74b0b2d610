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
