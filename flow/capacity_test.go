package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// largeTask returns a step with one task that needs half of a worker.
func largeTask(duration time.Duration) endive.Step {
	large := stepOfTasks(1, duration)
	large.Need.Processors = 8000
	return large
}

// resize changes a worker's capacity and reports it at once.
func (f *fakeWorker) resize(capacity endive.Resources) {
	f.capacities = append(f.capacities, capacityPeriod{from: f.sim.now, capacity: capacity})
	f.reportCapacity()
}

// smallCapacity is less than a large task needs.
var smallCapacity = endive.Resources{Processors: 4000, Memory: 16 * endive.GiB, Accelerators: 1}

// A worker with a large task shrinks, and becomes silent before another holder takes over. The task
// must not start elsewhere while it may still run there, though the worker is too small for it now.
func TestTaskOnShrunkWorkerStartsTwiceAfterTakeover(t *testing.T) {
	tests := []struct {
		name  string
		first endive.Resources
	}{
		{"shrunk", testCapacity},
		{"grown and shrunk", smallCapacity},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1, faults{})
			worker := w.addWorker("w0", tt.first)
			h := w.startHolder()
			w.run(time.Second)
			worker.resize(testCapacity)
			w.submit("large", urgentQueue, largeTask(6*time.Second))
			w.run(2 * time.Second)
			is.Equal(w.runningTasks("large"), 1)
			worker.resize(smallCapacity)
			w.run(2100 * time.Millisecond)
			h.kill()
			worker.unreachable = true
			w.addWorker("w1", testCapacity)
			w.startHolder()
			w.run(4 * time.Second)
			w.checkViolations()
			is.Equal(w.runningTasks("large"), 1)
			w.run(20 * time.Second)
			w.checkViolations()
			is.Equal(w.state("large"), endive.WorkflowSucceeded)
		})
	}
}

// A worker shrinks and becomes silent before another holder takes over. What an account may still
// run there counts against its cap, also what exceeds the worker's current capacity.
func TestTasksOnShrunkWorkerMissingFromCap(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.accounts = faultAccounts()
	worker := w.addWorker("w0", testCapacity)
	h := w.startHolder()
	w.run(time.Second)
	w.submitFor("a", "first", urgentQueue, stepOfTasks(5, 6*time.Second))
	w.run(2 * time.Second)
	is.Equal(w.runningTasks("first"), 5)
	worker.resize(endive.Resources{Processors: 3000, Memory: endive.GiB})
	w.run(2100 * time.Millisecond)
	h.kill()
	worker.unreachable = true
	w.addWorker("w1", testCapacity)
	w.addWorker("w2", testCapacity)
	w.startHolder()
	w.run(2200 * time.Millisecond)
	w.submitFor("a", "second", urgentQueue, stepOfTasks(6, time.Second))
	w.run(20 * time.Second)
	w.checkViolations()
	is.Equal(w.state("first"), endive.WorkflowSucceeded)
	is.Equal(w.state("second"), endive.WorkflowSucceeded)
}

// A worker shrinks below what runs there. What it lacks must not be taken off the free capacity of
// the other workers.
func TestShrunkWorkerHidesFreeCapacityOfOthers(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.eligibleShare = map[endive.QueueName]float64{adviceQueue.Name: 1}
	worker := w.addWorker("w0", testCapacity)
	w.startHolder()
	w.run(time.Second)
	w.submit("long", urgentQueue, stepOfTasks(5, 20*time.Second))
	w.run(1500 * time.Millisecond)
	is.Equal(w.runningTasks("long"), 5)
	worker.resize(endive.Resources{})
	w.addWorker("w1", testCapacity)
	w.run(2 * time.Second)
	w.submit("waiting", urgentQueue, stepOfTasks(1, 20*time.Second))
	w.submit("advised", adviceQueue, stepOfTasks(1, 20*time.Second))
	w.run(3 * time.Second)
	w.checkViolations()
	is.Equal(w.runningTasks("waiting"), 1)
	is.Equal(w.runningTasks("advised"), 1)
}

// A worker shrinks below what runs there, and its runs end one after the other without making
// space for an urgent task. The task must preempt a run on another worker meanwhile.
func TestRunsOnShrunkWorkerDelayPreemption(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	worker := w.addWorker("w0", testCapacity)
	w.startHolder()
	w.run(time.Second)
	for i := range 5 {
		w.submit("ending"+string(rune('a'+i)), urgentQueue, stepOfTasks(1, 2*time.Second+time.Duration(i)*180*time.Millisecond))
	}
	w.run(1500 * time.Millisecond)
	worker.resize(endive.Resources{Processors: 2000, Memory: endive.GiB})
	w.addWorker("w1", testCapacity)
	batch := endive.Queue{Name: "batch", Pool: testPool, Rank: 2, MaxAttempts: 3, SlackFactor: 10, Grace: endive.Interval(time.Minute)}
	preemptible := stepOfTasks(5, 20*time.Second)
	preemptible.Checkpoints = true
	w.submit("batch", batch, preemptible)
	w.run(2900 * time.Millisecond)
	is.Equal(w.runningTasks("batch"), 5)
	w.submit("urgent", urgentQueue, stepOfTasks(1, 2*time.Second))
	w.run(3400 * time.Millisecond)
	w.checkViolations()
	is.Equal(w.runningTasks("urgent"), 1)
}

// A run whose needs aren't known is found on a worker that is small at that moment. When the worker
// grows, nothing may start beside the run, which may be as large as the worker once was.
func TestStartBesideUnknownRunOnGrownWorker(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	worker := w.workers["w0"]
	worker.resize(smallCapacity)
	w.run(1500 * time.Millisecond)
	worker.runs["unknown.0.0.0"] = &fakeRun{task: "unknown.0.0.0", number: 1, need: endive.Resources{Processors: 8000}}
	larger := largeTask(time.Second)
	larger.Need.Processors = 12000
	w.submit("large", urgentQueue, larger)
	found := func() bool { return h.machine.workers["w0"].runs["unknown.0.0.0"] != nil }
	for at := w.now.Sub(w.start); !found() && at < 10*time.Second; at += time.Millisecond {
		w.run(at)
	}
	is.True(found())
	worker.resize(testCapacity)
	w.run(w.now.Sub(w.start) + 5*time.Second)
	w.checkViolations()
	is.Equal(w.state("large"), endive.WorkflowSucceeded)
}

// A worker loses its accelerators while tasks use them. No place may be counted there for a task
// that needs none, since nothing can start there.
func TestPlacesOnWorkerThatLacksAccelerators(t *testing.T) {
	is := is.New(t)
	worker := newWorker("w0")
	worker.setInfo(endive.FleetWorker{ID: "w0", Capacity: endive.Resources{Processors: 16000, Memory: 64 * endive.GiB}})
	worker.used.Accelerators = 2
	spec := stepOfTasks(3, time.Second)
	s := &step{spec: &spec, waiting: 3}
	is.True(!spec.Reserved().Fits(worker.free()))
	is.Equal(worker.places(s), 0)
}

// A holder hasn't been able to read the list of workers for a while. It must go on starting tasks
// at first, and stop before a worker may have shrunk for too long; a new list lets it go on.
func TestStartByOutdatedListOfWorkers(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.pollsLists = true
	worker := w.addWorker("w0", testCapacity)
	h := w.startHolder()
	w.run(time.Second)
	w.sendLists()
	h.noListUntil = w.now.Add(time.Minute)
	w.run(4 * time.Second)
	w.submit("soon", urgentQueue, stepOfTasks(5, 300*time.Millisecond))
	w.run(4400 * time.Millisecond)
	is.Equal(w.state("soon"), endive.WorkflowSucceeded)
	worker.resize(smallCapacity)
	w.run(11 * time.Second)
	w.submit("later", urgentQueue, stepOfTasks(5, 300*time.Millisecond))
	w.run(15 * time.Second)
	w.checkViolations()
	is.Equal(w.state("later"), endive.WorkflowQueued)
	h.noListUntil = time.Time{}
	w.sendLists()
	w.run(18 * time.Second)
	w.checkViolations()
	is.Equal(w.state("later"), endive.WorkflowSucceeded)
	h.step(WorkersConfirmed{StartsUntil: w.now.Add(time.Minute)})
	is.Equal(h.machine.sendBy(), h.machine.now.Add(maxSendDelay))
	h.step(WorkersConfirmed{StartsUntil: w.now.Add(maxSendDelay / 2)})
	is.Equal(h.machine.sendBy(), h.machine.listed.StartsUntil)
	w.submit("last", urgentQueue, stepOfTasks(5, 300*time.Millisecond))
	w.run(20 * time.Second)
	is.True(w.state("last") != endive.WorkflowSucceeded) // one task fits at a time until the list expires
	h.step(WorkersConfirmed{StartsUntil: w.now.Add(time.Minute)})
	w.run(22 * time.Second)
	is.Equal(w.state("last"), endive.WorkflowSucceeded)
}

// Orders to start a task are lost, and the worker has shrunk since they were decided on. The order
// must not be repeated there once the holder knows.
func TestStartRepeatedOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.pollsLists = true
	worker := w.addWorker("w0", testCapacity)
	h := w.startHolder()
	w.run(time.Second)
	worker.capacities = append(worker.capacities, capacityPeriod{from: w.now, capacity: smallCapacity})
	w.run(w.now.Sub(w.start) + testHeartbeat)
	w.sendLists()
	h.noListUntil = w.now.Add(time.Minute)
	w.run(5900 * time.Millisecond)
	w.faults.lostOrder = 1
	w.submit("large", urgentQueue, largeTask(300*time.Millisecond))
	w.run(6100 * time.Millisecond)
	h.noListUntil = time.Time{}
	worker.reportCapacity()
	w.run(6500 * time.Millisecond)
	w.faults.lostOrder = 0
	w.run(8 * time.Second)
	w.checkViolations()
	is.Equal(w.runningTasks("large"), 0)
	worker.resize(testCapacity)
	w.run(10 * time.Second)
	is.Equal(w.state("large"), endive.WorkflowSucceeded)
}

// Work arrives while all workers are too small for it. It must wait, and start once they have
// grown, with tickets and without, as a gang too.
func TestWorkGivenUpWhileWorkersAreSmall(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.addWorkers(6)
	w.startHolder()
	w.run(time.Second)
	for _, worker := range w.workers {
		worker.resize(smallCapacity)
	}
	ids := []endive.JobID{}
	for _, queue := range []endive.Queue{urgentQueue, adviceQueue} {
		gang := largeTask(time.Second)
		gang.Gang, gang.Tasks = true, 2
		lasting := largeTask(time.Second)
		lasting.LongRunning = true
		ids = append(ids,
			w.submit("single"+string(queue.Name), queue, largeTask(time.Second)),
			w.submit("gang"+string(queue.Name), queue, gang),
			w.submit("lasting"+string(queue.Name), queue, lasting))
	}
	w.run(10 * time.Second)
	for _, id := range ids {
		is.Equal(w.state(id), endive.WorkflowQueued)
	}
	for _, worker := range w.workers {
		worker.resize(testCapacity)
	}
	w.run(18 * time.Second)
	w.checkViolations()
	for _, id := range ids {
		if w.jobs[id].workflow.Steps[0].LongRunning {
			is.Equal(w.runningTasks(id), 1)
		} else {
			is.Equal(w.state(id), endive.WorkflowSucceeded)
		}
	}
}
