package flow

import "time"

const (
	// minLateness and maxLateness bound by how much later a worker carries out a call that got no answer.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
	// maxUnseenRestart is the longest time for which no answer to a poll shows that a worker has restarted.
	maxUnseenRestart = 3 * time.Second
)

// upTo draws a duration below d.
func (w *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int63n(int64(d)))
}

// carryOutLate lets a worker carry out a call that gets no answer some seconds later, whichever of its incarnations is
// up then. The header of the call can't tell them apart.
func (w *simulation) carryOutLate(worker *fakeWorker, call func()) {
	lateness := w.lateness
	if lateness == 0 {
		lateness = minLateness + w.upTo(maxLateness-minLateness)
	}
	worker.recordLostCall()
	w.after(lateness, func() {
		if worker.down {
			return
		}
		worker.executesLateOrder = true
		call()
		worker.executesLateOrder = false
	})
}

// restartUnseen starts a worker again under its id. It takes the calls that are meant for the former incarnation, but no
// answer to a poll shows that for a while. Then the worker is cut off, or answers again.
func (w *simulation) restartUnseen(worker *fakeWorker) {
	if worker.down {
		return
	}
	worker.startIncarnation(worker.capacity(), worker.info.Labels)
	worker.answersLost, worker.ordersUnanswered = true, w.chance(0.5)
	cutOff := w.chance(0.5)
	w.after(w.upTo(maxUnseenRestart), func() {
		worker.answersLost, worker.ordersUnanswered = false, false
		if cutOff {
			w.disconnect(worker)
			return
		}
		w.publishWorkers()
	})
}

// goDown ends the worker's process without a report. Its address refuses connections.
func (f *fakeWorker) goDown() {
	f.startIncarnation(f.capacity(), f.info.Labels)
	f.terminated, f.down = true, true
}
