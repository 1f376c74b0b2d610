package flow

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// isEligible reports whether the simulated advice service lets a worker run a step.
func (w *simulation) isEligible(step endive.StepID, id endive.WorkerID) bool {
	job, _ := w.findStep(endive.TaskID(string(step) + ".0"))
	share, set := w.eligibleShare[job.policy.Name]
	if !set {
		return (len(step)+int(id[len(id)-1]))%3 != 0
	}
	const buckets = 1000
	return endive.Rendezvous(endive.EntryID(id), string(step))%buckets < uint64(share*buckets)
}

// adviceDuration returns how long the answer to an advice request takes. The service
// processes the requests of each advice client one at a time.
func (w *simulation) adviceDuration(cost endive.Interval) time.Duration {
	if len(w.adviceClients) == 0 {
		return time.Duration(cost)
	}
	soonest := 0
	for i, busy := range w.adviceClients {
		if busy.Before(w.adviceClients[soonest]) {
			soonest = i
		}
	}
	w.adviceClients[soonest] = endive.Latest(w.adviceClients[soonest], w.now).Add(time.Duration(cost))
	return w.adviceClients[soonest].Sub(w.now)
}

// addAdviceClients adds entries that send the holder's requests to the advice service.
func (w *simulation) addAdviceClients(h *holder, count int) {
	w.adviceClients = make([]time.Time, count)
	for i := range w.adviceClients {
		w.adviceClients[i] = w.now
	}
	h.send(AdviceClientsChanged{Count: count})
}

// addLargeWorkers adds workers with accelerators, several in each rack.
func (w *simulation) addLargeWorkers(count int) {
	const perRack = 8
	for i := range count {
		w.addWorker(fmt.Sprintf("w%03d", i), endive.Resources{Processors: 64000, Memory: 256 * endive.GiB, Accelerators: 8},
			endive.Label(fmt.Sprintf("rack%d", i/perRack)))
	}
}

// acceleratorsInUse returns the number of accelerators that runs use.
func (w *simulation) acceleratorsInUse() int {
	count := 0
	for _, worker := range w.workers {
		for _, r := range worker.runs {
			count += int(r.need.Accelerators)
		}
	}
	return count
}
