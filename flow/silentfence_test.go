package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// An order to start gets no answer, is repeated, and its task ends. The worker restarts: a poll fails, the next one is answered,
// and then the worker is cut off, before it gets another call. It must refuse the first order, which arrives only now.
func TestFirstAnswerOfNextIncarnationFencesLateOrders(t *testing.T) {
	is := is.New(t)
	w, _ := newLoneWorkerSimulation(t)
	worker := w.workers["w0"]
	w.faults.lateOrder, w.lateness = 1, maxLateness-time.Second
	id := w.submit("job", urgentQueue, stepOfTasks(1, time.Second))
	w.run(30050 * time.Millisecond)
	w.faults.lateOrder = 0
	w.run(34 * time.Second)
	is.Equal(w.runningTasks(id), 0) // the repeated order was carried out, and the task has ended
	is.Equal(w.starts, 1)
	worker.unreachable = true
	w.run(35 * time.Second)
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	worker.unreachable = false
	for worker.epoch == 0 {
		w.run(w.now.Add(time.Millisecond).Sub(w.start))
	}
	worker.unreachable = true
	w.run(60 * time.Second)
	is.True(!worker.seenAt.IsZero())
	is.True(worker.fenceableAt.IsZero()) // no call has reached the incarnation since a holder learned of it
	w.checkViolations()
	is.Equal(w.starts, 1)
	is.Equal(len(w.unfencedStarts), 0)
}

// Only silence uses up epochs, not an answer that the worker is busy, and no more than half of a tenure's.
func TestSilenceUsesUpEpochs(t *testing.T) {
	tests := []struct {
		name   string
		result PollResult
		times  int
		epochs int
	}{
		{"no answer", PollResult{Result: OrderUnknown}, 3, 3},
		{"busy", PollResult{Result: OrderAnswered, Answer: endive.OrderAnswer{Refused: endive.RefusalUnhealthy}}, 3, 0},
		{"too often", PollResult{Result: OrderUnknown}, maxSilenceEpochs + 5, maxSilenceEpochs},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, h := newLoneWorkerSimulation(t)
			w.run(30 * time.Second)
			worker := h.machine.workers["w0"]
			for range tt.times {
				worker.failedPolls = 0
				h.machine.handlePollFailure(worker, tt.result)
			}
			is.Equal(worker.epochsUsed(), tt.epochs)
		})
	}
}

// A task may be started late by two workers. It waits for the later of the orders.
func TestLatestLateStartCounts(t *testing.T) {
	is := is.New(t)
	w, h := newLoneWorkerSimulation(t)
	id := w.submit("job", urgentQueue, stepOfTasks(1, time.Hour))
	w.run(31 * time.Second)
	task := h.machine.jobs[id].active[0].steps[0].tasks[0]
	later, earlier := w.now.Add(10*time.Second), w.now.Add(5*time.Second)
	for _, until := range []time.Time{later, earlier, {}} {
		worker := newWorker("w1")
		worker.incarnations = 1
		worker.lateStarts[task.id] = lateStart{until: until}
		(&run{id: task.id, task: task, worker: worker}).recordLateStart()
	}
	is.Equal(task.lateUntil, later)
	is.Equal(task.lateOn.lateStarts[task.id].until, later)
}
