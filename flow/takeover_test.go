package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A new holder adopts what runs, and starts none of it again.
func TestTakeoverAdoptsRuns(t *testing.T) {
	is := is.New(t)
	w, first := newSimulationWithHolder(t, faults{}, 3)
	id := w.submit("job1", urgentQueue, stepOfTasks(9, 3*time.Second), stepOfTasks(2, time.Second, 0))
	w.run(2 * time.Second)
	first.kill()
	w.run(4 * time.Second)
	w.startHolder()
	w.run(9 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 11)
}

// A holder that stood still while another took the pool over starts nothing when it
// goes on.
func TestFrozenHolderIsFenced(t *testing.T) {
	is := is.New(t)
	w, first := newSimulationWithHolder(t, faults{}, 3)
	w.submit("job1", urgentQueue, stepOfTasks(9, 2*time.Second))
	w.run(1500 * time.Millisecond)
	first.freeze(3 * time.Second)
	w.run(3 * time.Second)
	w.startHolder()
	w.submit("job2", urgentQueue, stepOfTasks(9, 2*time.Second))
	w.run(12 * time.Second)
	w.checkViolations()
	is.Equal(w.state("job1"), endive.WorkflowSucceeded)
	is.Equal(w.state("job2"), endive.WorkflowSucceeded)
	is.True(!first.machine.tenure.active)
}

// Workers end while there is no holder. The new one finds them in the roster only, sees
// that nothing listens there, and starts what they ran at once.
func TestTakeoverAfterWorkersHaveEnded(t *testing.T) {
	is := is.New(t)
	w, first := newSimulationWithHolder(t, faults{}, 3)
	id := w.submit("job1", urgentQueue, stepOfTasks(12, 2*time.Second))
	w.run(1500 * time.Millisecond)
	first.kill()
	w.workers["w0"].terminate()
	w.run(2 * time.Second)
	second := w.startHolder()
	w.run(2100 * time.Millisecond)
	is.True(second.machine.tenure.takeoverDone)
	w.run(6 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 17)
}

// Workers have ended, and others listen at their addresses, while the list still has
// them: what they ran starts elsewhere at once, with the holder that started it and
// after a takeover.
func TestAddressesOfWorkersAreReused(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover=%v", takeover), func(t *testing.T) {
			is := is.New(t)
			w, first := newSimulationWithHolder(t, faults{}, 3)
			id := w.submit("job1", urgentQueue, stepOfTasks(12, 2*time.Second))
			w.run(1500 * time.Millisecond)
			w.workers["w0"].startIncarnation(w.workers["w0"].info.Capacity, nil)
			w.workers["w0"].addressReused = true
			if takeover {
				first.kill()
				w.run(2 * time.Second)
				w.startHolder()
			}
			w.run(5 * time.Second)
			w.checkViolations()
			is.Equal(w.starts, 17)
			w.run(9 * time.Second)
			is.Equal(w.state(id), endive.WorkflowSucceeded)
		})
	}
}

// A worker that isn't listed may be cut off and run on: without an answer, what it ran
// isn't started elsewhere before all leases have run out that the last holder may have
// renewed up to the takeover.
func TestTakeoverWithUnreachableWorker(t *testing.T) {
	is := is.New(t)
	w, first := newSimulationWithHolder(t, faults{}, 3)
	id := w.submit("job1", urgentQueue, stepOfTasks(12, 2*time.Second))
	w.run(1500 * time.Millisecond)
	first.kill()
	w.workers["w0"].unreachable = true
	w.run(4500 * time.Millisecond)
	w.workers["w0"].unlisted = true
	w.publishWorkers()
	w.run(5 * time.Second)
	second := w.startHolder()
	leasesExpired := 5*time.Second + longestDuration(testLeaseDuration)
	w.run(leasesExpired)
	is.True(!second.machine.tenure.takeoverDone)
	w.run(leasesExpired + time.Second)
	is.True(second.machine.tenure.takeoverDone)
	w.run(14 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
}

// The load: all entries end while workers are replaced one after the other, so that one has
// left when the next holder comes. It had told that it would leave and isn't listed: nothing
// waits for it. One that had told nothing may be cut off and run on.
func TestTakeoverAfterWorkerTerminated(t *testing.T) {
	for _, announced := range []bool{true, false} {
		t.Run(fmt.Sprintf("told=%v", announced), func(t *testing.T) {
			is := is.New(t)
			w, first := newSimulationWithHolder(t, faults{}, 3)
			w.run(1500 * time.Millisecond)
			worker := w.workers["w0"]
			worker.info.Draining = announced
			w.publishWorkers()
			w.run(2500 * time.Millisecond)
			first.kill()
			worker.terminate()
			worker.terminated, worker.poweredOff = false, true
			second := w.startHolder()
			w.run(4500 * time.Millisecond)
			is.Equal(second.machine.tenure.takeoverDone, announced)
			w.run(10 * time.Second)
			is.True(second.machine.tenure.takeoverDone)
			w.checkViolations()
		})
	}
}

// A holder is replaced before its lease is over. On a worker that the new one can't
// reach, it may go on renewing until then.
func TestEarlyTakeoverWaitsForPreviousLease(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 2)
	last := w.now.Add(2 * time.Second)
	h.step(TenureBegan{Epoch: 2, LeaseEnd: w.now.Add(time.Hour), PreviousLeaseEnd: last})
	is.True(!h.machine.tenure.takeoverDeadline.Before(last.Add(testLeaseDuration)))
}

// A worker loses its way to the store: its entry disappears, while its holder reaches it
// and keeps its leases. A new holder that doesn't reach it starts nothing of it elsewhere
// before these have run out, however long it has been missing from the list.
func TestTakeoverOfWorkerOnlyPreviousHolderReached(t *testing.T) {
	is := is.New(t)
	w, first := newSimulationWithHolder(t, faults{}, 3)
	large := stepOfTasks(3, 20*time.Second)
	large.Need.Processors = 12000
	id := w.submit("job1", urgentQueue, large)
	w.run(2 * time.Second)
	worker := w.workers["w0"]
	worker.unlisted = true
	w.publishWorkers()
	w.run(8 * time.Second)
	is.Equal(w.runningTasks(id), 3)
	first.kill()
	worker.unreachableFrom = first.epoch + 1
	w.addWorker("w9", worker.info.Capacity)
	w.startHolder()
	w.run(40 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
}

// A worker starts anew while its holder waits for the answer of the one before. An end of
// the new life has the number of one that is recorded already: it isn't taken for that.
func TestEndsOfNewIncarnationAreNotAcknowledgedEarly(t *testing.T) {
	is := is.New(t)
	w, _ := newSimulationWithHolder(t, faults{}, 1)
	first := w.submit("job1", urgentQueue, stepOfTasks(5, 300*time.Millisecond))
	w.run(2200 * time.Millisecond)
	is.Equal(w.state(first), endive.WorkflowSucceeded)
	longRunning := stepOfTasks(1, time.Second)
	longRunning.LongRunning = true
	w.submit("watch", urgentQueue, longRunning)
	w.run(2500 * time.Millisecond)
	// Its old connection is silent: the look on its way gets no answer.
	worker := w.workers["w0"]
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	second := w.submit("job2", urgentQueue, stepOfTasks(1, 200*time.Millisecond))
	w.run(10 * time.Second)
	w.checkViolations()
	is.Equal(w.state(second), endive.WorkflowSucceeded)
	is.Equal(w.successCount["job2.0.0.0"], 1)
}
