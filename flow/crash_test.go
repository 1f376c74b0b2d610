package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// submitDeadly submits a job whose first task crashes each worker that starts it.
func (w *simulation) submitDeadly(id string, queue endive.Queue, step endive.Step) endive.JobID {
	job := w.submit(id, queue, step)
	w.jobs[job].deadly = endive.TaskID(id + ".0.0.0")
	return job
}

// submitHarmless submits jobs that crash nothing, one each 200 ms.
func (w *simulation) submitHarmless(prefix string, count int) []endive.JobID {
	var ids []endive.JobID
	for i := range count {
		ids = append(ids, w.submit(fmt.Sprintf("%s%d", prefix, i), urgentQueue, stepOfTasks(4, 700*time.Millisecond)))
		w.run(w.now.Add(200 * time.Millisecond).Sub(w.start))
	}
	return ids
}

// checkHarmless fails the test if one of the jobs hasn't succeeded.
func (w *simulation) checkHarmless(ids []endive.JobID) {
	w.t.Helper()
	for _, id := range ids {
		if state := w.state(id); state != endive.WorkflowSucceeded {
			w.t.Errorf("job %s is %s, want succeeded", id, state)
		}
	}
}

// A task that crashes each worker that starts it was started again and again, on one worker after
// the other.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	gang := stepOfTasks(3, 700*time.Millisecond)
	gang.Gang = true
	longRunning := stepOfTasks(3, time.Second)
	longRunning.LongRunning = true
	tests := []struct {
		name  string
		queue endive.Queue
		step  endive.Step
	}{
		{"task", urgentQueue, stepOfTasks(4, 700*time.Millisecond)},
		{"task with advice", adviceQueue, stepOfTasks(4, 700*time.Millisecond)},
		{"gang", urgentQueue, gang},
		{"long-running", urgentQueue, longRunning},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, _ := newSimulationWithHolder(t, faults{}, 12)
			ids := w.submitHarmless("before", 5)
			deadly := w.submitDeadly("deadly", tt.queue, tt.step)
			ids = append(ids, w.submitHarmless("after", 60)...)
			w.run(55 * time.Second)
			w.checkViolations()
			is.Equal(w.state(deadly), endive.WorkflowFailed)
			w.checkHarmless(ids)
		})
	}
}

// Many deadly tasks at once mustn't make harmless ones that run beside them fail.
func TestHarmlessTasksBesideManyDeadlyOnes(t *testing.T) {
	w, _ := newSimulationWithHolder(t, faults{}, 30)
	var ids, deadly []endive.JobID
	for i := range 12 {
		deadly = append(deadly, w.submitDeadly(fmt.Sprintf("deadly%d", i), urgentQueue, stepOfTasks(4, 700*time.Millisecond)))
		ids = append(ids, w.submitHarmless(fmt.Sprintf("harmless%d-", i), 4)...)
	}
	w.run(55 * time.Second)
	w.checkViolations()
	w.checkHarmless(ids)
	for _, id := range deadly {
		if state := w.state(id); state != endive.WorkflowFailed {
			t.Errorf("job %s is %s, want failed", id, state)
		}
	}
}

// A takeover lost the crashes that the earlier holder had seen.
func TestCrashesCountAfterTakeover(t *testing.T) {
	for at := 0; at < 20; at++ {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			w, h := newSimulationWithHolder(t, faults{}, 12)
			deadly := w.submitDeadly("deadly", urgentQueue, stepOfTasks(4, 700*time.Millisecond))
			w.run(time.Second + time.Duration(at)*730*time.Millisecond)
			h.kill()
			w.startHolder()
			ids := w.submitHarmless("harmless", 20)
			w.run(55 * time.Second)
			w.checkViolations()
			w.checkHarmless(ids)
			is.New(t).Equal(w.state(deadly), endive.WorkflowFailed)
		})
	}
}

// Each takeover of a series lost a crash that the earlier holder had only begun to notice.
func TestCrashesCountAfterTakeoversInSeries(t *testing.T) {
	for ms := 1500; ms <= 4500; ms += 250 {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			w, h := newSimulationWithHolder(t, faults{}, 12)
			deadly := w.submitDeadly("deadly", urgentQueue, stepOfTasks(4, 700*time.Millisecond))
			for range 8 {
				w.runToCrash("deadly.0.0.0")
				w.run(w.now.Add(time.Duration(ms) * time.Millisecond).Sub(w.start))
				h.kill()
				h = w.startHolder()
			}
			w.run(w.now.Add(30 * time.Second).Sub(w.start))
			w.checkViolations()
			is.New(t).Equal(w.state(deadly), endive.WorkflowFailed)
		})
	}
}

// runToCrash runs until a task crashes the next worker, for 8 s at most.
func (w *simulation) runToCrash(id endive.TaskID) {
	before := w.crashes[id]
	for range 800 {
		if w.crashes[id] > before {
			return
		}
		w.run(w.now.Add(10 * time.Millisecond).Sub(w.start))
	}
}

// Workers that are killed from outside, alone, by rack or in a series, mustn't make any workflow fail.
func TestKilledWorkersFailNoWorkflow(t *testing.T) {
	for seed := range int64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, seed, faults{})
			w.addWorkers(24)
			h := w.startHolder()
			w.run(time.Second)
			ids := w.submitLongLived()
			for i := range 30 {
				ids = append(ids, w.submitHarmless(fmt.Sprintf("round%d-", i), 3)...)
				w.killSome(i)
				if i == 15 && seed%2 == 0 {
					h.kill()
					h = w.startHolder()
				}
			}
			w.run(w.now.Add(35 * time.Second).Sub(w.start))
			w.checkViolations()
			w.checkHarmless(ids[longLivedJobs:])
			w.checkNoneFailed()
		})
	}
}

// A worker that crashes again and again soon after its start, for a reason of its own, made tasks
// fail that had been started again on the same worker.
func TestFlappingWorkerFailsNoWorkflow(t *testing.T) {
	for ms := 50; ms <= 600; ms += 50 {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			w, _ := newSimulationWithHolder(t, faults{}, 6)
			w.flap("w0", time.Duration(ms)*time.Millisecond)
			ids := w.submitHarmless("harmless", 100)
			w.run(w.now.Add(30 * time.Second).Sub(w.start))
			w.checkHarmless(ids)
			w.checkNoneFailed()
		})
	}
}

// flap crashes a worker each time that it has been up for the given duration.
func (w *simulation) flap(id endive.WorkerID, up time.Duration) {
	const down = 2 * time.Second
	worker := w.workers[id]
	w.after(up, func() {
		worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
		worker.terminated = true
		w.after(down, func() {
			worker.terminated = false
			worker.restart()
			w.flap(id, up)
		})
	})
}

// checkNoneFailed fails the test if a holder has given a job up.
func (w *simulation) checkNoneFailed() {
	w.t.Helper()
	for _, h := range w.holders {
		for _, d := range h.jobDecisions {
			if d.Outcome == string(endive.WorkflowFailed) {
				w.t.Errorf("job %s failed: %s", d.Job, d.Reason)
			}
		}
	}
}

// longLivedJobs is the number of jobs of submitLongLived.
const longLivedJobs = 6

// submitLongLived submits jobs that each crash of a worker may hit.
func (w *simulation) submitLongLived() []endive.JobID {
	var ids []endive.JobID
	for i := range longLivedJobs {
		step := stepOfTasks(6, 4*time.Second)
		step.LongRunning, step.Gang = i%2 == 0, i%2 == 1
		ids = append(ids, w.submit(fmt.Sprintf("long%d", i), urgentQueue, step))
	}
	return ids
}

// killSome crashes a rack of workers every fifth time, and else each worker with a small chance.
func (w *simulation) killSome(round int) {
	rack := w.random.Intn(8)
	for i := range 24 {
		worker := w.workers[endive.WorkerID(fmt.Sprintf("w%d", i))]
		if round%5 == 0 && i/3 == rack || w.chance(0.04) {
			worker.crash()
		}
	}
}
