package flow

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// workerWithRuns returns the worker that runs a task.
func (w *simulation) workerWithRuns() *fakeWorker {
	for _, worker := range w.workers {
		if len(worker.runs) > 0 {
			return worker
		}
	}
	w.t.Fatal("no worker runs a task")
	return nil
}

// renewalPeriod is the period in which the workers of a simulation renew their registrations.
const renewalPeriod = 1500 * time.Millisecond

// listReadPeriod is the time between two readings of the list of workers.
const listReadPeriod = 400 * time.Millisecond

// reportRenewals reports the renewals of the registrations to a holder until its process ends. A worker
// that is unreachable doesn't reach the platform either.
func (w *simulation) reportRenewals(h *holder) {
	event := WorkersHeard{Since: w.now.Add(-listReadPeriod)}
	for _, worker := range w.workers {
		if !worker.terminated && !worker.poweredOff && !worker.unreachable && !worker.unlisted {
			event.Workers = append(event.Workers, worker.id)
		}
	}
	slices.Sort(event.Workers)
	h.step(event)
	if !h.dead {
		w.after(renewalPeriod, func() { w.reportRenewals(h) })
	}
}

// newSilenceSimulation returns a simulation of two workers that renew their registrations, one of which
// runs the only task of a job.
func newSilenceSimulation(t *testing.T, step endive.Step) (*simulation, *holder, *fakeWorker, endive.JobID) {
	t.Helper()
	w := newSimulation(t, 1, faults{})
	w.renewals = true
	w.addWorkers(2)
	h := w.startHolder()
	w.run(time.Second)
	id := w.submit("job", urgentQueue, step)
	w.run(1200 * time.Millisecond)
	return w, h, w.workerWithRuns(), id
}

// The network between the holder and a worker is congested: polls reach the worker, but its answers
// arrive too late. A run on it succeeds, and the worker lists that. The task must not start on
// another worker while the platform hears the worker.
func TestSucceededTaskStartsAgainBehindSlowLink(t *testing.T) {
	is := is.New(t)
	w, _, worker, id := newSilenceSimulation(t, stepOfTasks(1, 700*time.Millisecond))
	worker.answersLost = true
	w.run(8 * time.Second)
	is.Equal(w.successCount["job.0.0.0"], 1)
	worker.answersLost = false
	w.run(12 * time.Second)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 1)
}

// Answers that arrive after the timeout of a poll must count: the worker isn't given up, its leases
// are renewed, and the end of the run is recorded.
func TestLateAnswersAreIgnored(t *testing.T) {
	is := is.New(t)
	w, h, worker, id := newSilenceSimulation(t, stepOfTasks(1, 12*time.Second))
	worker.answerDelay = 2500 * time.Millisecond
	w.run(20 * time.Second)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 1)
	is.True(h.machine.workers[worker.id].lastEnd > 0)
}

// While only the answers of a live worker are lost, its leases are renewed, so that its run goes on.
func TestLeasesOfLiveSilentWorkerExpire(t *testing.T) {
	is := is.New(t)
	w, _, worker, id := newSilenceSimulation(t, stepOfTasks(1, 7*time.Second))
	worker.answersLost = true
	w.run(7 * time.Second)
	worker.answersLost = false
	w.run(12 * time.Second)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 1)
}

// A task doesn't wait for the report of its worker where the worker is gone, where it would never
// end, or for longer than maxSilence.
func TestTaskWaitsForReportInVain(t *testing.T) {
	longRunning := stepOfTasks(1, time.Second)
	longRunning.LongRunning = true
	tests := []struct {
		name string
		step endive.Step
		// silence ends the worker's answers.
		silence func(*fakeWorker)
		// restarted is by when the task has started again, after the start of the silence.
		restarted time.Duration
	}{
		{"crashed worker", stepOfTasks(1, 700*time.Millisecond), func(f *fakeWorker) { f.unreachable = true }, 7 * time.Second},
		{"long-running task", longRunning, func(f *fakeWorker) { f.answersLost = true }, maxSilentRenewal + 6*time.Second},
		{"worker that stays silent", stepOfTasks(1, 700*time.Millisecond), func(f *fakeWorker) { f.answersLost = true }, maxSilence + 2*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, _, worker, _ := newSilenceSimulation(t, tt.step)
			tt.silence(worker)
			w.run(1200*time.Millisecond + tt.restarted)
			is.Equal(w.starts, 2)
		})
	}
}

// An answer that was overtaken by a newer one must not bring back what the worker reported before.
func TestOvertakenAnswerCounts(t *testing.T) {
	is := is.New(t)
	w, h, worker, id := newSilenceSimulation(t, stepOfTasks(1, 700*time.Millisecond))
	old := worker.report()
	w.run(4 * time.Second)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	h.step(PollResult{Worker: worker.id, Poll: 1, Result: OrderAnswered, Report: old})
	w.run(6 * time.Second)
	is.Equal(len(h.machine.workers[worker.id].runs), 0)
	is.Equal(w.starts, 1)
}

// A run waits for its worker's report only while its success would keep the task from starting again.
func TestRunWaitsForReport(t *testing.T) {
	tests := []struct {
		name   string
		change func(*run)
		want   bool
	}{
		{"a task", func(*run) {}, true},
		{"a run of an unknown task", func(r *run) { r.task = nil }, false},
		{"a task that has succeeded", func(r *run) { r.task.state = taskSucceeded }, false},
		{"a task with a newer run", func(r *run) { r.task.run = &run{} }, false},
		{"a cancelled job", func(r *run) { r.task.step.occ.job.state = endive.WorkflowCancelled }, false},
		{"a long-running task", func(r *run) { r.task.step.spec.LongRunning = true }, false},
		{"a speculative task", func(r *run) { r.task.step.spec.Speculative = true }, false},
		{"a gang", func(r *run) { r.task.step.spec.Gang = true; r.task.step.gang.run = r.number }, true},
		{"a gang of which another member has ended", func(r *run) { r.task.step.spec.Gang = true }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			task := &task{state: taskPlaced, step: &step{spec: &endive.Step{}, occ: &occurrence{job: &job{state: endive.WorkflowRunning}}}}
			r := &run{task: task, number: 7}
			task.run = r
			tt.change(r)
			is.Equal(r.waitsForReport(), tt.want)
		})
	}
}
