package flow

import (
	"fmt"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// newLargePool returns a simulation with a holder and many workers, whose list is published once.
func newLargePool(workers int) (*simulation, *holder) {
	w := newSimulation(nil, 1, faults{})
	for i := range workers {
		worker := &fakeWorker{sim: w, id: endive.WorkerID(fmt.Sprintf("w%03d", i))}
		worker.startIncarnation(testCapacity, nil)
		w.workers[worker.id] = worker
	}
	w.publishWorkers()
	h := w.startHolder()
	w.run(500 * time.Millisecond)
	return w, h
}

// shortestPass returns the run time of the shortest of some scheduling passes.
func shortestPass(w *simulation, h *holder) time.Duration {
	const passes = 9
	shortest := time.Hour
	for range passes {
		h.machine.passDue, h.machine.earliestPassAt = true, time.Time{}
		begin := time.Now()
		h.machine.Step(w.now, endive.Wake{})
		shortest = min(shortest, time.Since(begin))
	}
	return shortest
}

// passCost returns the shortest of some scheduling passes over a full pool in which a scheduled job has
// the given number of overdue occurrences that wait.
func passCost(tb testing.TB, occurrences int) time.Duration {
	w, h := overdueSchedule(occurrences)
	if waiting := len(h.machine.jobs["schedule"].active); waiting < occurrences*9/10 {
		tb.Fatalf("%d occurrences wait, want about %d", waiting, occurrences)
	}
	return shortestPass(w, h)
}

// overdueSchedule returns a pool that is full and a scheduled job whose occurrences are overdue.
func overdueSchedule(occurrences int) (*simulation, *holder) {
	w, h := newLargePool(4)
	w.submitScheduled("schedule", adviceQueue, endive.Schedule{Occurrences: 2 * occurrences, First: w.now.Add(-time.Duration(occurrences) * time.Minute), Period: endive.Interval(time.Minute)},
		stepOfTasks(1, time.Hour))
	w.run(3 * time.Second)
	return w, h
}

// A scheduled job with many overdue occurrences made each scheduling pass take the square of their number,
// and the holder handled nothing else meanwhile: other clients' jobs weren't started.
func TestPassOverManyOccurrencesIsLinear(t *testing.T) {
	const few, factor = 300, 10
	small, large := passCost(t, few), passCost(t, few*factor)
	// A quadratic pass would take factor*factor times as long.
	if large > 3*factor*small {
		t.Errorf("a pass over %d occurrences takes %s, over %d %s", few, small, few*factor, large)
	}
}

// BenchmarkPassOverOccurrences measures a scheduling pass over overdue occurrences of a job.
func BenchmarkPassOverOccurrences(b *testing.B) {
	for _, occurrences := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("occurrences=%d", occurrences), func(b *testing.B) {
			w, h := overdueSchedule(occurrences)
			for b.Loop() {
				h.machine.passDue, h.machine.earliestPassAt = true, time.Time{}
				h.machine.Step(w.now, endive.Wake{})
			}
		})
	}
}

// A job with more overdue tasks than a holder may have open at a time must run each of them once.
func TestOverdueOccurrencesAreCreatedBitByBit(t *testing.T) {
	w, h := newSimulationWithHolder(t, faults{}, 20)
	const times = 12
	step := stepOfTasks(1000, 50*time.Millisecond)
	step.Need = endive.Resources{Processors: 100}
	id := w.submitScheduled("schedule", urgentQueue, endive.Schedule{Occurrences: times, First: w.start.Add(-time.Hour), Period: endive.Interval(time.Second)}, step)
	w.run(1100 * time.Millisecond)
	if open := h.machine.jobs[id].unfinished; open > maxOpenTasks+step.Tasks {
		t.Errorf("%d tasks are open, want at most %d and those of one occurrence", open, maxOpenTasks)
	}
	w.run(30 * time.Second)
	w.checkViolations()
	if state := w.state(id); state != endive.WorkflowSucceeded || w.starts != times*1000 {
		t.Errorf("the job is %s after %d starts", state, w.starts)
	}
}

// backlogPassCost returns the shortest of some scheduling passes over a pool full of lasting runs, in which
// 3,000 urgent workflows wait and can't preempt a run.
func backlogPassCost(workers int) time.Duration {
	const waiting, runsPerWorker = 3000, 5
	w, h := newLargePool(workers)
	for i := range waiting + workers {
		w.submit(fmt.Sprintf("job%d", i), urgentQueue, stepOfTasks(runsPerWorker, time.Hour))
	}
	w.run(4 * time.Second)
	return shortestPass(w, h)
}

// For each urgent step that waited, a scheduling pass looked at all runs for one to preempt, and at all
// workers for free capacity. With thousands of steps and of runs, the holder had no time left for anything
// else. The cost of a pass over a backlog may hardly depend on the size of the pool.
func TestPassOverBacklogDoesNotSearchAllRunsForEachStep(t *testing.T) {
	const few, factor = 20, 8
	small, large := backlogPassCost(few), backlogPassCost(few*factor)
	if large > 3*small {
		t.Errorf("a pass over the same backlog takes %s with %d workers, %s with %d", small, few, large, few*factor)
	}
}
