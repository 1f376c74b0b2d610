package flow

import "time"

const (
	// minLateness and maxLateness bound by how much later a worker carries out a call that got no answer.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
	// maxAfterCut is the longest time from the end of a cut until a call is carried out that was sent during the cut.
	maxAfterCut = time.Second
	// maxUpTime is the longest time until a worker that has restarted restarts again.
	maxUpTime = 2 * time.Second
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
	w.after(lateness, func() { worker.takeLate(call) })
}

// repeatLate lets a worker carry out a call whose answer is lost once more, some seconds later.
func (w *simulation) repeatLate(worker *fakeWorker, call func()) {
	if w.strikes("repeatedCall", w.faults.repeatedCall) {
		lateness := minLateness + w.durationOf("repeatedCall", maxLateness-minLateness)
		w.after(lateness, func() { worker.takeLate(call) })
	}
}

// delay draws by how much a call or an answer is delayed, at most most.
func (w *simulation) delay(most time.Duration) time.Duration {
	if most <= 0 || !w.strikes("delayedCall", w.faults.delayedCall) {
		return 0
	}
	return w.durationOf("delayedCall", most)
}

// takeLate carries out a call that is late, if an incarnation is up.
func (f *fakeWorker) takeLate(call func()) {
	if f.down {
		return
	}
	f.executesLateOrder = true
	call()
	f.executesLateOrder = false
}

// loseCall loses a call to a worker that can't be reached, or lets the worker carry it out soon after it can be reached again.
func (w *simulation) loseCall(h *holder, worker *fakeWorker, call func()) {
	worker.recordLostCall()
	if worker == nil || !worker.isCutOff(h) || !w.strikes("cutCall", w.faults.cutCall) {
		return
	}
	lastAt := w.now.Add(maxLateness)
	afterCut := w.durationOf("cutCall", maxAfterCut)
	var retry func()
	retry = func() {
		switch {
		case w.now.After(lastAt):
		case worker.isCutOff(h):
			w.after(cutCheckInterval, retry)
		default:
			w.after(min(afterCut, lastAt.Sub(w.now)), func() { worker.takeLate(call) })
		}
	}
	w.after(cutCheckInterval, retry)
}

// isCutOff reports whether calls of a holder don't reach the worker.
func (f *fakeWorker) isCutOff(h *holder) bool { return f.unreachable || f.unreachableBy(h) }

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
