package place

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// fakeTask is an attempt on a fakeWorker.
type fakeTask struct {
	report endive.TaskReport
	lease  time.Time
	endsAt time.Time
	end    endive.TaskState
}

// fakeWorker runs tasks under leases and refuses commands of previous holders,
// as the platform's workers do.
type fakeWorker struct {
	id       endive.WorkerID
	size     endive.Resources
	epoch    endive.Epoch
	sequence uint64
	tasks    map[endive.AttemptID]*fakeTask
	// restarts counts the worker's restarts. A command that was sent before a
	// restart is not delivered after it.
	restarts int
	// cutOff drops all commands to the worker and all of its answers.
	cutOff bool
	// onlyReachableBy, if set, is the only entry whose commands arrive.
	onlyReachableBy *entry
	// stopTime is how long a task takes to stop.
	stopTime time.Duration
	// plan returns the run time of a task and the state in which it ends.
	plan func(start endive.StartTask) (time.Duration, endive.TaskState)
	// onStart is called at each start of a task, to check invariants.
	onStart func(w *fakeWorker, start endive.StartTask, now time.Time)
}

func newFakeWorker(id endive.WorkerID, size endive.Resources) *fakeWorker {
	return &fakeWorker{id: id, size: size, tasks: make(map[endive.AttemptID]*fakeTask)}
}

// restart drops all attempts and the epoch and sequence that the worker has
// seen.
func (w *fakeWorker) restart() {
	w.tasks, w.epoch, w.sequence = make(map[endive.AttemptID]*fakeTask), 0, 0
	w.restarts++
}

// endDueTasks ends the tasks whose run time is over or whose lease has expired.
func (w *fakeWorker) endDueTasks(now time.Time) {
	for _, t := range w.tasks {
		if t.report.State != endive.TaskRunning {
			continue
		}
		switch {
		case !t.endsAt.After(now) && !t.endsAt.After(t.lease):
			t.report.State = t.end
		case !t.lease.After(now):
			t.report.State = endive.TaskStopped
		}
	}
}

// running returns the running tasks.
func (w *fakeWorker) running(now time.Time) []*fakeTask {
	w.endDueTasks(now)
	var list []*fakeTask
	for _, t := range w.tasks {
		if t.report.State == endive.TaskRunning {
			list = append(list, t)
		}
	}
	return list
}

// receive executes a command and returns the worker's report.
func (w *fakeWorker) receive(now time.Time, c endive.WorkerCommand) endive.WorkerReport {
	w.endDueTasks(now)
	if c.Epoch < w.epoch || c.Epoch == w.epoch && c.Sequence <= w.sequence {
		return endive.WorkerReport{Worker: w.id, Epoch: w.epoch, Refused: "a newer command was received"}
	}
	w.epoch, w.sequence = c.Epoch, c.Sequence
	lease := now.Add(time.Duration(c.LeaseMillis) * time.Millisecond)
	for _, id := range c.Renew {
		if t := w.tasks[id]; t != nil && t.report.State == endive.TaskRunning {
			t.lease = lease
		}
	}
	for _, s := range c.Stop {
		if t := w.tasks[s.Attempt]; t != nil && t.report.State == endive.TaskRunning {
			t.endsAt, t.end = now.Add(w.stopTime), endive.TaskStopped
			if s.Checkpoint {
				t.end = endive.TaskCheckpointed
			}
		}
	}
	w.endDueTasks(now)
	for _, id := range c.Forget {
		delete(w.tasks, id)
	}
	for _, s := range c.Start {
		w.start(now, s, lease)
	}
	return w.report()
}

func (w *fakeWorker) start(now time.Time, s endive.StartTask, lease time.Time) {
	runTime, end := time.Minute, endive.TaskSucceeded
	if w.plan != nil {
		runTime, end = w.plan(s)
	}
	w.tasks[s.Attempt] = &fakeTask{
		report: endive.TaskReport{Task: s.Task, Attempt: s.Attempt, State: endive.TaskRunning, Need: s.Need},
		lease:  lease, endsAt: now.Add(runTime), end: end,
	}
	if w.onStart != nil {
		w.onStart(w, s, now)
	}
}

func (w *fakeWorker) report() endive.WorkerReport {
	r := endive.WorkerReport{Worker: w.id, Epoch: w.epoch, Size: w.size}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.report)
	}
	sort.Slice(r.Tasks, func(i, k int) bool { return r.Tasks[i].Attempt < r.Tasks[k].Attempt })
	return r
}
