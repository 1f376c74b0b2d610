package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/stand/fault"
)

func newWorker(clock endive.Clock, journal *Journal, id string) *Worker {
	target := fault.Target{Part: fault.Worker, Instance: id}
	return NewWorker(target, endive.Resources{Processors: 4000}, fault.NewSet(), journal, clock)
}

func start(task endive.TaskID, attempt endive.AttemptID, payload string, processors endive.MilliProcessors) []endive.StartTask {
	return []endive.StartTask{{Task: task, Attempt: attempt, Payload: payload, Need: endive.Resources{Processors: processors}}}
}

// step is a command sent after a delay, and the expected report of the worker.
type step struct {
	name    string
	after   time.Duration
	command endive.WorkerCommand
	refused bool
	states  []endive.TaskState
}

var steps = []step{
	{"starts", 0, endive.WorkerCommand{Epoch: 2, Sequence: 1, LeaseMillis: 1000, Start: start("a", "a.1", "forever", 3000)}, false, []endive.TaskState{"running"}},
	{"exceeds the size", 0, endive.WorkerCommand{Epoch: 2, Sequence: 2, LeaseMillis: 1000, Start: start("b", "b.1", "", 2000)}, false, []endive.TaskState{"running", "failed"}},
	{"forgets ended attempts, keeps running ones", 0, endive.WorkerCommand{Epoch: 2, Sequence: 3, LeaseMillis: 1000, Forget: []endive.AttemptID{"a.1", "b.1"}}, false, []endive.TaskState{"running"}},
	{"the same command again starts nothing", 0, endive.WorkerCommand{Epoch: 2, Sequence: 3, LeaseMillis: 1000, Start: start("c", "c.1", "", 1)}, false, []endive.TaskState{"running"}},
	{"a lower sequence is refused", 0, endive.WorkerCommand{Epoch: 2, Sequence: 2, LeaseMillis: 9000, Renew: []endive.AttemptID{"a.1"}}, true, []endive.TaskState{"running"}},
	{"a lower epoch is refused", 0, endive.WorkerCommand{Epoch: 1, Sequence: 9, LeaseMillis: 9000, Renew: []endive.AttemptID{"a.1"}}, true, []endive.TaskState{"running"}},
	{"a lease is renewed", 900 * time.Millisecond, endive.WorkerCommand{Epoch: 3, Sequence: 1, LeaseMillis: 1000, Renew: []endive.AttemptID{"a.1"}}, false, []endive.TaskState{"running"}},
	{"starts a second task", 900 * time.Millisecond, endive.WorkerCommand{Epoch: 3, Sequence: 2, Start: start("d", "d.1", "run=50ms", 1000), LeaseMillis: 1000}, false, []endive.TaskState{"running", "running"}},
	{"a lease expires, a task succeeds", 100 * time.Millisecond, endive.WorkerCommand{Epoch: 3, Sequence: 3, LeaseMillis: 1000, Renew: []endive.AttemptID{"a.1"}}, false, []endive.TaskState{"stopped", "succeeded"}},
	{"a known attempt isn't started again", 0, endive.WorkerCommand{Epoch: 3, Sequence: 4, LeaseMillis: 1000, Start: start("a", "a.1", "", 1000)}, false, []endive.TaskState{"stopped", "succeeded"}},
}

func TestWorkerSteps(t *testing.T) {
	clock, journal := fakes.NewClock(), NewJournal()
	w := newWorker(clock, journal, "planner-1")
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			clock.Advance(s.after)
			s.command.Slice = "planner.gogledd"
			report := w.Command(s.command, clock.Now())
			is.Equal(report.Refused != "", s.refused)
			var states []endive.TaskState
			for _, task := range report.Tasks {
				states = append(states, task.State)
			}
			is.Equal(states, s.states)
		})
	}
	is := is.New(t)
	counts := journal.Counts(true)
	one := counts.Workers["planner-1"]
	is.Equal([]int{one.OverSize, one.LowEpoch, one.LowSequence, one.Lapsed}, []int{1, 1, 1, 1})
	is.Equal(one.MostUsed.Processors, endive.MilliProcessors(4000))
	is.Equal(one.Used, endive.Resources{})
	is.Equal(counts.Starts, 2)
}

// TestJournalSeesTwoInstances checks that the journal counts a task that runs on
// two workers at the same time, which the scheduler must never allow.
func TestJournalSeesTwoInstances(t *testing.T) {
	is := is.New(t)
	clock, journal := fakes.NewClock(), NewJournal()
	for _, id := range []string{"planner-1", "planner-2"} {
		command := endive.WorkerCommand{Epoch: 1, Sequence: 1, LeaseMillis: 1000}
		command.Start = start("a", endive.AttemptID("a."+id), "forever", 1)
		newWorker(clock, journal, id).Command(command, clock.Now())
	}
	counts := journal.Counts(false)
	is.Equal(counts.MostAtOnce, 2)
	is.Equal(counts.StartedAgain, 1)
}

// TestCheckpoint checks that a resumed task runs only for the time that remained
// at its checkpoint.
func TestCheckpoint(t *testing.T) {
	is := is.New(t)
	clock, journal := fakes.NewClock(), NewJournal()
	w := newWorker(clock, journal, "planner-1")
	w.Command(endive.WorkerCommand{Epoch: 1, Sequence: 1, LeaseMillis: 10000, Start: start("a", "a.1", "run=3s", 1)}, clock.Now())
	clock.Advance(2 * time.Second)
	report := w.Command(endive.WorkerCommand{Epoch: 1, Sequence: 2, Stop: []endive.StopTask{{Attempt: "a.1", Checkpoint: true}}}, clock.Now())
	is.Equal(report.Tasks[0].State, endive.TaskCheckpointed)
	again := start("a", "a.2", "run=3s", 1)
	again[0].Resume = true
	w.Command(endive.WorkerCommand{Epoch: 1, Sequence: 3, LeaseMillis: 10000, Forget: []endive.AttemptID{"a.1"}, Start: again}, clock.Now())
	clock.Advance(time.Second)
	report = w.Command(endive.WorkerCommand{Epoch: 1, Sequence: 4}, clock.Now())
	is.Equal(report.Tasks[0].State, endive.TaskSucceeded)
}
