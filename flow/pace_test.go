package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// On healthy workers, the tasks of a step take several times the step's estimated time. No
// task may be stopped for being slow if the other tasks of the step are no faster. The task
// of a step with a single task may be stopped at most once.
func TestWrongEstimateRestartsNothing(t *testing.T) {
	tests := []struct {
		name           string
		tasks          int
		durationFactor float64
		maxStarts      int
	}{
		{"many tasks, four times the estimate", 13, 4, 13},
		{"many tasks, ten times the estimate", 13, 10, 13},
		{"one task, four times the estimate", 1, 4, 1},
		{"one task, ten times the estimate", 1, 10, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, _ := newSimulationWithHolder(t, faults{}, 8)
			spec := stepOfTasks(tt.tasks, time.Second)
			spec.Checkpoints = true
			id := w.submit("job1", urgentQueue, spec)
			w.jobs[id].durationFactor = tt.durationFactor
			w.run(30 * time.Second)
			w.checkViolations()
			is.Equal(w.state(id), endive.WorkflowSucceeded)
			is.True(w.starts <= tt.maxStarts)
		})
	}
}

// A step runs tasks on four workers, of which one is slow. The progress of the tasks on the
// other three must show that this worker is slow, and the tasks on the slow worker must be
// moved: the workflow succeeds within 9 s.
func TestSlowWorkerIsDetectedByPace(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.addWorkers(4)
	w.workers["w0"].slowFactor = 5
	w.startHolder()
	w.run(time.Second)
	wide := w.submit("wide", urgentQueue, stepOfTasks(16, 2*time.Second))
	w.run(9 * time.Second)
	w.checkViolations()
	is.Equal(w.state(wide), endive.WorkflowSucceeded)
}
