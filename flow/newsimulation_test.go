package flow

import (
	"math/rand"
	"testing"
	"time"

	"endiveroute.example/endive"
)

func newSimulation(t *testing.T, seed int64, f faults) *simulation {
	start := time.Unix(1_800_000_000, 0)
	return &simulation{
		t: t, seed: seed, random: rand.New(rand.NewSource(seed)), draws: make(map[string]*rand.Rand), drawn: make(map[string]int), faults: f, start: start, now: start,
		rows: make(map[string]endive.Row), refusedRows: make(map[string]int), workers: make(map[endive.WorkerID]*fakeWorker),
		jobs: make(map[endive.JobID]*fakeJob), succeeded: make(map[endive.TaskID]bool), everSucceeded: make(map[endive.TaskID]bool), failures: make(map[endive.TaskID]int), failedRuns: make(map[endive.TaskID]int),
		putAt: make(map[string]time.Time), successCount: make(map[endive.TaskID]int), crashes: make(map[endive.TaskID]int), endedUnder: make(map[endive.TaskID]int), startsAfter: make(map[endive.TaskID]int),
	}
}

// newSimulationWithHolder returns a simulation after one second, with some workers and a holder.
func newSimulationWithHolder(t *testing.T, f faults, workers int) (*simulation, *holder) {
	w := newSimulation(t, 1, f)
	w.addWorkers(workers)
	h := w.startHolder()
	w.run(time.Second)
	return w, h
}

// newLoneWorkerSimulation returns a simulation after half a minute, with one worker and a holder, in which the platform
// reports renewed registrations.
func newLoneWorkerSimulation(t *testing.T) (*simulation, *holder) {
	w := newSimulation(t, 1, faults{})
	w.trace, w.renewals = *followTasks, true
	w.addWorkers(1)
	h := w.startHolder()
	w.run(30 * time.Second)
	return w, h
}

// newSimulationWithRun returns a simulation in which the only task of a job has just started.
func newSimulationWithRun(t *testing.T, workers int) (*simulation, *holder, endive.JobID) {
	t.Helper()
	w, h := newSimulationWithHolder(t, faults{}, workers)
	id := w.submit("job", urgentQueue, stepOfTasks(1, 700*time.Millisecond))
	w.run(1200 * time.Millisecond)
	if running := w.runningTasks(id); running != 1 {
		t.Fatalf("%d tasks run, want 1", running)
	}
	return w, h, id
}
