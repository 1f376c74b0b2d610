package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// simulationWithUnseenRestart returns a simulation in which the only worker has restarted under its id, and then got
// an order to start a long task that was meant for the earlier incarnation: its lease is by the earlier clock.
func simulationWithUnseenRestart(t *testing.T) (*simulation, *holder, *fakeWorker) {
	t.Helper()
	w, h := newLoneWorkerSimulation(t)
	worker := w.workers["w0"]
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	w.submit("job", urgentQueue, stepOfTasks(1, 30*time.Second))
	// The answer to the order arrives, that to the poll after it doesn't.
	w.run(30*time.Second + 8*time.Millisecond)
	worker.answersLost = true
	if worker.runs["job.0.0.0"] == nil {
		t.Fatal("the task hasn't started")
	}
	return w, h, worker
}

// cutOffBeside cuts a worker off from the holders and the platform, and adds another one.
func (w *simulation) cutOffBeside(worker *fakeWorker) {
	worker.unreachable, worker.answersLost, worker.unlisted = true, true, true
	w.addWorker("w9", testCapacity, endive.Label("rack0"))
}

// A worker restarts under its id, takes an order to start for its former incarnation, and is cut off before a poll
// shows the restart. It shortens the order's lease by its former clock only to the longest one, and the task must not
// start elsewhere before that has expired.
func TestRunOfNextIncarnationOutlivesLeaseOfFormerClock(t *testing.T) {
	w, _, worker := simulationWithUnseenRestart(t)
	w.cutOffBeside(worker)
	w.run(90 * time.Second)
	w.checkViolations()
	is.New(t).True(w.starts >= 2) // the task starts again once its lease has expired
}

// The same with a takeover: the next holder knows neither the restart nor the lease.
func TestTakeoverAfterUnseenRestartOfWorker(t *testing.T) {
	for _, tt := range replacements {
		t.Run(tt.name, func(t *testing.T) {
			w, h, worker := simulationWithUnseenRestart(t)
			w.cutOffBeside(worker)
			tt.replace(h)
			w.run(90 * time.Second)
			w.checkViolations()
			is.New(t).True(w.starts >= 2) // the task starts again once its lease has expired
		})
	}
}

// An order to start gets no answer, the worker restarts under its id, and the order is carried out by the next
// incarnation after the holder has seen the restart. The worker must refuse it: the task has started elsewhere.
func TestLateOrderReachesNextIncarnation(t *testing.T) {
	for _, seen := range []string{"in an answer", "in the list"} {
		t.Run(seen, func(t *testing.T) {
			is := is.New(t)
			w, h := newLoneWorkerSimulation(t)
			worker := w.workers["w0"]
			order := endive.StartOrder{
				Worker: endive.WorkerRef{ID: worker.id}, Task: "job.0.0.0", LeaseEnd: worker.clock() + endive.WorkerTime(testLeaseDuration.Milliseconds()),
				Epoch: h.machine.epochFor(h.machine.workers[worker.id]),
			}
			w.submit("job", urgentQueue, stepOfTasks(1, 30*time.Second))
			w.run(30*time.Second + 20*time.Millisecond)
			order.Run = worker.runs["job.0.0.0"].number
			worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
			w.addWorker("w1", testCapacity, endive.Label("rack0"))
			if seen == "in an answer" {
				w.run(33 * time.Second)
			}
			w.run(w.now.Add(20 * time.Millisecond).Sub(w.start))
			answer := worker.start(order)
			is.Equal(answer.Refused, endive.RefusalEpoch)
			w.run(70 * time.Second)
			w.checkViolations()
			is.Equal(w.state("job"), endive.WorkflowSucceeded)
		})
	}
}

// A poll that gets no answer is carried out late, by the worker's next incarnation. It must not acknowledge an end of
// that incarnation, which no holder has received: the task would count as lost and run again.
func TestLatePollForgetsEndOfNextIncarnation(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.addWorkers(1)
	h := w.startHolder()
	w.run(time.Second)
	worker := w.workers["w0"]
	w.submit("first", urgentQueue, stepOfTasks(3, 300*time.Millisecond))
	w.run(2 * time.Second)
	is.Equal(len(worker.ends), 0) // they have been acknowledged
	w.submit("second", urgentQueue, stepOfTasks(1, 20*time.Second))
	w.run(3 * time.Second)
	tracked := h.machine.workers[worker.id]
	is.Equal(tracked.recordedEnd(), endive.EndNumber(3))
	is.Equal(tracked.acknowledgedEnd(w.now), endive.EndNumber(0))
}

// One worker restarts again and again. The holder must not give up the whole pool for it.
func TestRestartsOfOneWorkerEndTenure(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	worker := w.workers["w0"]
	for i := range 40 {
		w.run(time.Duration(2+3*i) * time.Second)
		worker.restart()
	}
	is.True(h.machine.tenure.active)
}

// A worker lists a run that the holder doesn't track, of an order that was carried out late, and the holder stops it. The
// stop takes a while, and the task must not start elsewhere before the run has ended.
func TestTaskStartsBesideOrphanThatIsBeingStopped(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.trace = *followTasks
	w.addWorkers(1)
	h := w.startHolder()
	w.run(30 * time.Second)
	worker := w.workers["w0"]
	worker.unsentFrom = worker.orders + 1 // no order can be sent
	w.submit("job", urgentQueue, stepOfTasks(1, 10*time.Second))
	w.run(30300 * time.Millisecond)
	worker.start(endive.StartOrder{
		Worker: endive.WorkerRef{ID: worker.id}, Task: "job.0.0.0", Run: 1, LeaseEnd: worker.clock() + 4500, Epoch: h.machine.epochFor(h.machine.workers[worker.id]),
	})
	w.run(34 * time.Second)
	is.Equal(len(h.machine.workers["w0"].runs), 1)
	w.addWorker("w9", testCapacity, endive.Label("rack0"))
	w.run(34500 * time.Millisecond)
	is.Equal(w.starts, 1)
	worker.unsentFrom = 0
	w.run(60 * time.Second)
	w.checkViolations()
	is.Equal(w.state("job"), endive.WorkflowSucceeded)
}

// A worker restarts while an order to stop a run is in flight, and refuses its epoch. The next incarnation has the run, by
// a late order to start. It must be stopped there, too.
func TestStopOfFormerIncarnationIsRefused(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	worker := w.workers["w0"]
	id := w.submit("job", urgentQueue, stepOfTasks(1, 30*time.Second))
	w.run(2 * time.Second)
	number := worker.runs["job.0.0.0"].number
	worker.unsentFrom = worker.orders + 1
	w.cancel(id)
	w.run(2010 * time.Millisecond)
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	w.publishWorkers()
	w.run(2012 * time.Millisecond)
	worker.start(endive.StartOrder{
		Worker: endive.WorkerRef{ID: worker.id}, Task: "job.0.0.0", Run: number, LeaseEnd: worker.clock() + 4500, Epoch: h.machine.epochFor(h.machine.workers["w0"]),
	})
	h.step(StopResult{Worker: "w0", Task: "job.0.0.0", Run: number, Result: OrderAnswered, Answer: endive.OrderAnswer{Refused: endive.RefusalEpoch}})
	worker.unsentFrom = 0
	w.run(4 * time.Second)
	is.True(h.machine.tenure.active)
	is.Equal(len(worker.runs), 0)
}
