package flow

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// injectFault injects a random fault at a worker or at the holder, or none.
func (w *simulation) injectFault(current **holder) {
	worker := w.workers[endive.WorkerID(fmt.Sprintf("w%d", w.random.Intn(6)))]
	switch w.random.Intn(10) {
	case 0:
		worker.restart()
	case 1:
		worker.unreachable = true
		w.after(3*time.Second, func() { worker.unreachable = false })
	case 2:
		(*current).kill()
		w.after(2500*time.Millisecond, func() { *current = w.startHolder() })
	case 3:
		(*current).freeze(4 * time.Second)
		w.after(2500*time.Millisecond, func() { *current = w.startHolder() })
	case 4:
		w.disconnect(worker)
	case 7:
		w.restartUnseen(worker)
	case 6:
		if !(*current).dead && !(*current).frozen {
			*current = (*current).handOver()
		}
	case 5:
		if w.faults.storePartitions {
			w.partitionFromStore(worker, (*current).epoch)
		}
	}
}

// takeOverEarly starts the next holder beside one that lives, for some seconds at most, with a feed that lags.
func (w *simulation) takeOverEarly(current **holder) {
	if w.earlyTakeovers == nil || w.earlyTakeovers.Intn(3) > 0 || (*current).dead || (*current).frozen {
		return
	}
	upTo := func(d time.Duration) time.Duration { return time.Duration(w.earlyTakeovers.Int63n(int64(d))) }
	leaseEnd := w.now.Add(upTo(2 * time.Second))
	(*current).machine.tenure.leaseEnd = leaseEnd
	w.loadDuration = upTo(800 * time.Millisecond)
	next := w.startHolderBefore(leaseEnd)
	next.feedDelay = upTo(time.Second)
	*current = next
	// The former holder learns of a fence with its next write: only what comes at once is started by it.
	id, run := fmt.Sprintf("early%d", w.epoch), 100*time.Millisecond+upTo(time.Second)
	w.after(upTo(40*time.Millisecond), func() { w.submit(id, urgentQueue, stepOfTasks(2, run), stepOfTasks(1, run, 0)) })
}

// partitionFromStore cuts a worker off from the store and from later holders, while the current
// holder still reaches it.
func (w *simulation) partitionFromStore(worker *fakeWorker, epoch endive.Epoch) {
	w.drawn["storePartitions"]++
	worker.unlisted, worker.unreachableFrom = true, epoch+1
	w.publishWorkers()
	w.after(8*time.Second, func() {
		worker.unlisted, worker.unreachableFrom = false, 0
		w.publishWorkers()
	})
}

// disconnect cuts a worker off from the network. It keeps running and is unlisted after a while.
func (w *simulation) disconnect(worker *fakeWorker) {
	worker.unreachable = true
	w.after(3*time.Second, func() {
		worker.unlisted = worker.unreachable
		w.publishWorkers()
	})
	w.after(8*time.Second, func() {
		worker.unreachable, worker.unlisted = false, false
		w.publishWorkers()
	})
}

// injectWorkerFault crashes a worker, starts one again unseen, cuts one off for a while, or does nothing.
func (w *simulation) injectWorkerFault(current *holder) {
	worker := w.workers[endive.WorkerID(fmt.Sprintf("w%d", w.random.Intn(10)))]
	switch w.random.Intn(8) {
	case 0:
		worker.crash()
	case 1, 2:
		worker.unreachable = true
		w.after(3*time.Second, func() { worker.unreachable = false })
	case 3:
		w.restartUnseen(worker)
	case 4:
		if w.faults.storePartitions {
			w.partitionFromStore(worker, current.epoch)
		}
	}
}
