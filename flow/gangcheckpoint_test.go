package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The members of a gang have saved different checkpoints, and one has none. All must start with the same one.
func TestGangStartsWithOneCheckpoint(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 0)
	gang := stepOfTasks(4, 500*time.Millisecond)
	gang.Gang, gang.Checkpoints = true, true
	id := w.submit("gang", urgentQueue, gang)
	w.run(1500 * time.Millisecond)
	for i, percent := range []int{20, 60, 40} {
		task := h.machine.tasks[endive.TaskID(fmt.Sprintf("gang.0.0.%d", i))]
		task.checkpoint, task.savedPercent = endive.Checkpoint(fmt.Sprintf("at %d%%", percent)), percent
	}
	w.addWorkers(2)
	w.run(6 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	started := 0
	for _, worker := range w.workers {
		for _, resume := range worker.resumes {
			started++
			is.Equal(resume, endive.Checkpoint("at 60%")) // of the member that got furthest
		}
	}
	is.Equal(started, 4)
}
