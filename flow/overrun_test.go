package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// overrunQueue has work that isn't urgent. laterQueue goes after it.
var (
	overrunQueue = endive.Queue{Name: "overrun", Pool: testPool, Rank: 1, MaxAttempts: 3, SlackFactor: 3, Grace: endive.Interval(2 * time.Second)}
	laterQueue   = endive.Queue{Name: "later", Pool: testPool, Rank: 2, MaxAttempts: 3, SlackFactor: 3, Grace: endive.Interval(2 * time.Second)}
)

// overrunFactorOfTest is how many times its estimate a task of the tests takes that overruns.
const overrunFactorOfTest = 12

// Tasks that take twelve times their estimates fill a worker. Short work that would be on time must not wait until they
// have ended, if they save their progress and have slack.
func TestShortWorkWaitsForOverrunningRuns(t *testing.T) {
	tests := []struct {
		name string
		long func(*endive.Step)
		// factor is the ratio of the long tasks' run times to their estimates.
		factor float64
		queue  endive.Queue
		want   endive.WorkflowState
	}{
		{"saves its progress", func(s *endive.Step) { s.Checkpoints = true }, overrunFactorOfTest, overrunQueue, endive.WorkflowSucceeded},
		{"a gang", func(s *endive.Step) { s.Checkpoints, s.Gang = true, true }, overrunFactorOfTest, overrunQueue, endive.WorkflowSucceeded},
		{"saves nothing", func(*endive.Step) {}, overrunFactorOfTest, overrunQueue, endive.WorkflowQueued},
		{"as long as expected", func(s *endive.Step) { s.Checkpoints, s.Estimate = true, overrunFactorOfTest*s.Estimate }, 1, overrunQueue, endive.WorkflowQueued},
		{"goes first", func(s *endive.Step) { s.Checkpoints = true }, overrunFactorOfTest, laterQueue, endive.WorkflowQueued},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, _ := newSimulationWithHolder(t, faults{}, 1)
			step := stepOfTasks(5, 2*time.Second)
			tt.long(&step)
			long := w.submit("long", overrunQueue, step)
			w.jobs[long].durationFactor = tt.factor
			w.run(6 * time.Second)
			is.Equal(w.runningTasks("long"), 5)
			short := w.submit("short", tt.queue, stepOfTasks(1, 500*time.Millisecond))
			w.run(8 * time.Second)
			w.checkViolations()
			is.Equal(w.state(short), tt.want)
			w.run(70 * time.Second)
			w.checkViolations()
			is.Equal(w.successCount["long.0.0.0"], 1)
			is.Equal(w.successCount["short.0.0.0"], 1)
		})
	}
}

// A task needs what several overrunning runs hold on one worker. Small work that goes later must not take what the first of
// them frees.
func TestLargeTaskWaitsForOverrunningRuns(t *testing.T) {
	is := is.New(t)
	w, _ := newSimulationWithHolder(t, faults{}, 1)
	step := stepOfTasks(5, 2*time.Second)
	step.Checkpoints = true
	long := w.submit("long", laterQueue, step)
	w.jobs[long].durationFactor = overrunFactorOfTest
	w.run(6 * time.Second)
	large := stepOfTasks(1, 500*time.Millisecond)
	large.Need.Processors = 12000
	id := w.submit("large", overrunQueue, large)
	for _, small := range []string{"a", "b", "c", "d", "e", "f"} {
		w.submit("small"+small, laterQueue, stepOfTasks(2, time.Second))
	}
	w.run(8 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
}

// Urgent work preempts runs as well, and couldn't preempt the short work that would replace them.
func TestRunsGiveWayWhileUrgentWorkWaits(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	m := h.machine
	step := stepOfTasks(5, 2*time.Second)
	step.Checkpoints = true
	long := w.submit("long", overrunQueue, step)
	w.jobs[long].durationFactor = overrunFactorOfTest
	w.run(6 * time.Second)
	short := w.submit("short", overrunQueue, stepOfTasks(1, 500*time.Millisecond))
	m.overruns.searchAt = m.now.Add(overrunUrgentPause)
	w.run(6*time.Second + overrunUrgentPause - 100*time.Millisecond)
	is.Equal(w.state(short), endive.WorkflowQueued)
	w.run(10 * time.Second)
	is.Equal(w.state(short), endive.WorkflowSucceeded)
	w.checkViolations()
}
