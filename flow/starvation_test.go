package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// submitLapsing submits a job whose runs end without a result soon after they have started.
func (w *simulation) submitLapsing(id string, queue endive.Queue, step endive.Step) endive.JobID {
	job := w.submit(id, queue, step)
	w.jobs[job].lapses = true
	return job
}

// Work past its objective waited for ever while work accepted before it was started again and again.
func TestRestartedWorkStarvesWaitingWork(t *testing.T) {
	gang := stepOfTasks(3, 700*time.Millisecond)
	gang.Need.Processors, gang.Gang = 12000, true
	task := stepOfTasks(1, 700*time.Millisecond)
	task.Need.Processors = 16000
	tests := []struct {
		name  string
		queue endive.Queue
		step  endive.Step
	}{
		{"urgent task", urgentQueue, task},
		{"task of a lower rank", adviceQueue, task},
		{"gang of a lower rank", gangQueue, gang},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, _ := newSimulationWithHolder(t, faults{}, 3)
			w.eligibleShare = map[endive.QueueName]float64{adviceQueue.Name: 1, gangQueue.Name: 1}
			// So many that they fill the pool although each pauses before it starts again.
			for i := range 90 {
				w.submitLapsing(fmt.Sprintf("lapsing%d", i), urgentQueue, task)
			}
			id := w.submitLapsing("waiting", tt.queue, tt.step)
			w.run(20 * time.Second)
			w.jobs[id].lapses = false
			w.run(60 * time.Second)
			is.Equal(w.state(id), endive.WorkflowSucceeded)
		})
	}
}

// Work of a lower precedence waited for ever while long-running tasks were started again and again.
func TestRestartedLongRunningWorkStarvesWaitingWork(t *testing.T) {
	task := stepOfTasks(1, 700*time.Millisecond)
	task.Need.Processors = 16000
	longRunning := task
	longRunning.LongRunning = true
	tests := []struct {
		name  string
		end   endive.EndKind
		queue endive.Queue
		step  endive.Step
	}{
		{"leases expire, urgent task waits", endive.EndLeaseExpired, urgentQueue, task},
		{"runs fail, urgent task waits", endive.EndFailed, urgentQueue, task},
		{"runs fail, task of a lower rank waits", endive.EndFailed, adviceQueue, task},
		{"runs fail, long-running task waits", endive.EndFailed, urgentQueue, longRunning},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, _ := newSimulationWithHolder(t, faults{}, 3)
			w.eligibleShare = map[endive.QueueName]float64{adviceQueue.Name: 1}
			for i := range 6 {
				id := w.submit(fmt.Sprintf("restarted%d", i), urgentQueue, longRunning)
				w.jobs[id].longRunningEnd = tt.end
			}
			w.run(5 * time.Second)
			id := w.submit("waiting", tt.queue, tt.step)
			w.run(30 * time.Second)
			if w.state(id) == endive.WorkflowQueued {
				t.Error("the waiting job hasn't started")
			}
		})
	}
}

// A long-running task that had lost its worker waited for as long as urgent work filled the pool.
func TestInterruptedLongRunningTaskStarves(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover=%v", takeover), func(t *testing.T) {
			is := is.New(t)
			w, h := newSimulationWithHolder(t, faults{}, 3)
			w.eligibleShare = map[endive.QueueName]float64{adviceQueue.Name: 1}
			longRunning := stepOfTasks(1, time.Second)
			longRunning.LongRunning, longRunning.Need.Processors = true, 8000
			id := w.submit("watch", adviceQueue, longRunning)
			w.run(3 * time.Second)
			is.Equal(w.runningTasks(id), 1)
			for i := range 400 {
				urgent := stepOfTasks(2, 900*time.Millisecond)
				urgent.Need.Processors = 6000
				w.after(time.Duration(i)*100*time.Millisecond, func() { w.submit(fmt.Sprintf("urgent%d", i), urgentQueue, urgent) })
			}
			w.run(6 * time.Second)
			for _, worker := range w.workers {
				if worker.runs["watch.0.0.0"] != nil {
					worker.restart()
				}
			}
			if takeover {
				h.kill()
				w.run(8 * time.Second)
				w.startHolder()
			}
			w.run(w.now.Add(5 * time.Second).Sub(w.start))
			is.Equal(w.runningTasks(id), 1)
			w.checkViolations()
		})
	}
}
