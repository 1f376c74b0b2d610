package flow

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// isGood reports whether a worker may run a step.
func (w *world) isGood(step endive.StepID, id endive.WorkerID) bool {
	job, _ := w.stepOf(endive.TaskID(string(step) + ".0"))
	share, set := w.goodShare[job.policy.Name]
	if !set {
		return (len(step)+int(id[len(id)-1]))%3 != 0
	}
	const buckets = 1000
	return endive.Rendezvous(endive.EntryID(id), string(step))%buckets < uint64(share*buckets)
}

// adviceTakes returns how long the answer to a question takes: the service answers each
// entry one question after the other.
func (w *world) adviceTakes(cost endive.Interval) time.Duration {
	if len(w.advisers) == 0 {
		return time.Duration(cost)
	}
	soonest := 0
	for i, busy := range w.advisers {
		if busy.Before(w.advisers[soonest]) {
			soonest = i
		}
	}
	w.advisers[soonest] = endive.Latest(w.advisers[soonest], w.now).Add(time.Duration(cost))
	return w.advisers[soonest].Sub(w.now)
}

// addAdvisers gives the holder entries that ask for it.
func (w *world) addAdvisers(h *holder, count int) {
	w.advisers = make([]time.Time, count)
	for i := range w.advisers {
		w.advisers[i] = w.now
	}
	h.tell(AdviceClientsChanged{Count: count})
}

// addLargeWorkers adds workers with accelerators, some to a rack.
func (w *world) addLargeWorkers(count int) {
	const perRack = 8
	for i := range count {
		w.addWorker(fmt.Sprintf("w%03d", i), endive.Resources{Processors: 64000, Memory: 256 * endive.GiB, Accelerators: 8},
			endive.Label(fmt.Sprintf("rack%d", i/perRack)))
	}
}

// inUse returns how many accelerators run something.
func (w *world) inUse() int {
	count := 0
	for _, one := range w.workers {
		for _, r := range one.runs {
			count += int(r.need.Accelerators)
		}
	}
	return count
}
