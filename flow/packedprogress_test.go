package flow

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// lostRunOf returns a lost run of a task, with details as long as those of real workers.
func lostRunOf(t *task) pendingRun {
	return pendingRun{
		number: endive.RunNumber(64*runsPerEpoch) + endive.RunNumber(t.index), worker: endive.WorkerID(fmt.Sprintf("i-%08x", t.index%5*0x1234567)),
		workerStart: 1_800_000_000_123 + int64(t.index%5), leaseEnd: time.UnixMilli(1_800_000_004_567), address: "10.120.130.140:8080", machine: "m-0123456789",
	}
}

// All tasks of a wide workflow have been lost, and some have failed. Its row must stay below the store's limit, and the next
// holder must know of each failure and each crash that counts against a task.
func TestRowOfWideWorkflowIsBounded(t *testing.T) {
	tests := []struct {
		name string
		// tasks is the width of the step.
		tasks int
		// whole is true if nothing is left out.
		whole bool
	}{
		{"plain", 100, true},
		{"compressed", 1300, true},
		{"widest step", endive.MaxStepTasks, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, h := newSimulationWithHolder(t, faults{}, 1)
			id := w.submit("job", urgentQueue, stepOfTasks(tt.tasks, time.Hour))
			w.run(1500 * time.Millisecond)
			j := h.machine.jobs[id]
			for _, task := range j.active[0].steps[0].tasks {
				lost := lostRunOf(task)
				task.crashes.late, task.crashes.unproven = []endive.RunNumber{lost.number}, []pendingRun{lost}
				if task.index%3 == 0 {
					task.failedRuns, task.checkpoint = []endive.RunNumber{lost.number + 1}, "at 60%"
				}
				if task.index%4 == 0 {
					task.crashes.runs, task.crashes.proven = []endive.RunNumber{lost.number - 1}, []endive.RunNumber{lost.number - 1}
				}
			}
			value := j.encodeProgress()
			is.True(len(value) <= maxRowBytes)
			var decoded Progress
			is.NoErr(decodeRow(value, &decoded))
			is.Equal(decoded.State, endive.WorkflowRunning)
			if tt.whole {
				is.Equal(decoded, j.progress())
			}
			recorded := decoded.Occurrences[0].Steps[0].Tasks
			for i, want := range j.progress().Occurrences[0].Steps[0].Tasks {
				is.Equal(recorded[i].Failed, want.Failed)
				is.Equal(recorded[i].Crashed, want.Crashed)
				is.Equal(recorded[i].CrashedProven, want.CrashedProven)
			}
		})
	}
}

// An earlier build must not take a compressed row for one of a workflow without progress: it would run all tasks again.
func TestEarlierBuildsCannotDecodeCompressedRow(t *testing.T) {
	is := is.New(t)
	progress := Progress{State: endive.WorkflowRunning, Occurrences: []OccurrenceProgress{{Steps: []StepProgress{{All: true}}}}}
	value := progress.encodePacked()
	var earlier plainProgress
	is.True(json.Unmarshal(value, &earlier) != nil)
	var decoded Progress
	is.NoErr(decodeRow(value, &decoded))
	is.Equal(decoded, progress)
	is.True(decodeRow([]byte(`{"state":"running","occurrences":"AAAA"}`), &decoded) != nil) // not a compressed Progress
}

// A worker with hundreds of tasks of a wide workflow crashes. The workflow must go on, and so must those that come later.
func TestWideWorkflowGoesOnAfterCrash(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover=%v", takeover), func(t *testing.T) {
			is := is.New(t)
			w, h := newSimulationWithHolder(t, faults{}, 3)
			wide := stepOfTasks(1300, 10*time.Second)
			wide.Need = endive.Resources{Processors: 20}
			id := w.submit("job", urgentQueue, wide, stepOfTasks(8, time.Second, 0))
			w.run(3 * time.Second)
			worker := slices.MaxFunc(slices.Collect(maps.Values(w.workers)), func(a, b *fakeWorker) int {
				return cmp.Or(cmp.Compare(len(a.runs), len(b.runs)), cmp.Compare(a.id, b.id))
			})
			is.True(len(worker.runs) > 400)
			worker.crash()
			if takeover {
				w.run(12 * time.Second)
				h.kill()
				w.startHolder()
			}
			w.run(15 * time.Second)
			later := w.submit("later", urgentQueue, stepOfTasks(8, time.Second))
			w.run(50 * time.Second)
			is.Equal(len(w.refusedRows), 0)
			is.Equal(w.state(later), endive.WorkflowSucceeded)
			is.Equal(w.state(id), endive.WorkflowSucceeded)
			w.checkViolations()
		})
	}
}
