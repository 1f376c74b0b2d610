package flow

import (
	"fmt"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// call returns the function by which a worker takes a call that this holder sends now.
func (h *holder) call(worker *fakeWorker, execute func(*fakeWorker) endive.OrderAnswer) func() endive.OrderAnswer {
	sentAt, epoch := h.sim.now, h.epoch
	return func() endive.OrderAnswer {
		worker.beginCall(sentAt, epoch)
		return execute(worker)
	}
}

// beginCall records that the worker takes a call.
func (f *fakeWorker) beginCall(sentAt time.Time, epoch endive.Epoch) {
	f.callSentAt = sentAt
	if f.fenceableAt.IsZero() && !f.seenAt.IsZero() && !sentAt.Before(f.seenAt) && epoch == f.sim.epoch {
		f.fenceableAt = f.sim.now
	}
}

// markSeen records that a holder learns of the worker's incarnation that began at start.
func (f *fakeWorker) markSeen(h *holder, start time.Time) {
	if f.seenAt.IsZero() && !h.dead && !h.frozen && f.startTime.Equal(start) {
		f.seenAt = f.sim.now
	}
}

// markListed records that a holder learns of the incarnations in a list of workers.
func (w *simulation) markListed(h *holder, listed []endive.FleetWorker) {
	for _, info := range listed {
		w.workers[info.ID].markSeen(h, info.StartTime)
	}
}

// forFormer reports whether the call that the worker has taken last was sent before its incarnation began.
func (f *fakeWorker) forFormer() bool { return f.callSentAt.Before(f.startTime) }

// describeCall describes a call that was meant for a former incarnation; empty for others.
func (f *fakeWorker) describeCall() string {
	if !f.forFormer() {
		return ""
	}
	return fmt.Sprintf(" (sent at %s for a former incarnation; this one began at %s, seen %s, fenceable %s)",
		f.sim.seconds(f.callSentAt), f.sim.seconds(f.startTime), f.sim.seconds(f.seenAt), f.sim.seconds(f.fenceableAt))
}

// seconds describes a time of the simulation.
func (w *simulation) seconds(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f s", at.Sub(w.start).Seconds())
}

// log logs what happens to a traced task on the worker.
func (f *fakeWorker) log(task endive.TaskID, what string) {
	if w := f.sim; w.trace != "" && strings.HasPrefix(string(task), w.trace) {
		w.t.Logf("%s %s on %s, incarnation %d, %s", w.seconds(w.now), task, f.id, f.incarnation, what)
	}
}

// logRuns logs what happens to the traced tasks that run on the worker, or whose ends it lists.
func (f *fakeWorker) logRuns(what string) {
	for _, end := range f.ends {
		f.log(end.Task, what+", its end unacknowledged")
	}
	for _, r := range f.sortedRuns() {
		f.log(r.task, what)
	}
}
