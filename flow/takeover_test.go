package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A new holder must adopt the runs that it finds on the workers, and start none of these tasks
// again.
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

// A holder's process is frozen while another entry acquires the pool. When the process
// resumes, it must start nothing.
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

// A worker terminates while there is no holder. The new holder finds the worker only in the
// roster, and the poll is refused since nothing listens at the worker's address. That doesn't
// prove that the worker has terminated, so its tasks must start elsewhere once its leases have
// surely expired, and not before.
func TestTakeoverAfterWorkersHaveEnded(t *testing.T) {
	is := is.New(t)
	w, first := newSimulationWithHolder(t, faults{}, 3)
	id := w.submit("job1", urgentQueue, stepOfTasks(12, 2*time.Second))
	w.run(1500 * time.Millisecond)
	first.kill()
	w.workers["w0"].terminate()
	w.run(2 * time.Second)
	second := w.startHolder()
	leasesExpired := 2*time.Second + longestDuration(testMaxLeaseDuration)
	w.run(leasesExpired)
	is.True(!second.machine.tenure.takeoverDone)
	w.run(leasesExpired + 300*time.Millisecond)
	is.True(second.machine.tenure.takeoverDone)
	w.run(leasesExpired + 4*time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 17)
}

// A worker has terminated and another one listens at its address, while the platform still lists
// the old one. The tasks of the old worker must start elsewhere at once, both with the same
// holder and after a takeover.
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

// An unlisted worker that doesn't answer may be cut off from the network and still run its
// tasks. These tasks may not be started elsewhere before all leases have expired that the
// previous holder may have renewed up to the takeover.
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
	leasesExpired := 5*time.Second + longestDuration(testMaxLeaseDuration)
	w.run(leasesExpired)
	is.True(!second.machine.tenure.takeoverDone)
	w.run(leasesExpired + time.Second)
	is.True(second.machine.tenure.takeoverDone)
	w.run(leasesExpired + 4400*time.Millisecond)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
}

// All entries stop while workers are replaced one after the other, so that a worker has
// terminated when the next holder begins. Whether or not the worker had announced its leaving, it
// may be cut off and still run. So the takeover must wait until its leases have expired, but tasks
// that weren't on a worker that had announced its leaving must start at once.
func TestTakeoverAfterWorkerTerminated(t *testing.T) {
	for _, announced := range []bool{true, false} {
		t.Run(fmt.Sprintf("announced=%v", announced), func(t *testing.T) {
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
			id := w.submit("job", urgentQueue, stepOfTasks(1, time.Second))
			second := w.startHolder()
			w.run(4500 * time.Millisecond)
			is.True(!second.machine.tenure.takeoverDone)
			is.Equal(w.state(id) == endive.WorkflowSucceeded, announced) // the roster lists what was on a leaving worker
			w.run(5500*time.Millisecond + longestDuration(testMaxLeaseDuration))
			is.True(second.machine.tenure.takeoverDone)
			is.Equal(w.state(id), endive.WorkflowSucceeded)
			w.checkViolations()
		})
	}
}

// A holder is replaced before its lease ends, and until then may renew leases on a worker that
// the new holder can't reach. The deadline of the takeover must lie after the end of these
// leases.
func TestEarlyTakeoverWaitsForPreviousLease(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 2)
	previousLeaseEnd := w.now.Add(2 * time.Second)
	h.step(TenureBegan{Epoch: 2, FenceVersion: w.rows[FenceKey(testPool)].Version, LeaseEnd: w.now.Add(time.Hour), PreviousLeaseEnd: previousLeaseEnd})
	w.run(1100 * time.Millisecond)
	is.True(h.machine.tenure.loaded)
	is.True(!h.machine.tenure.takeoverDeadline.Before(previousLeaseEnd.Add(testLeaseDuration)))
}

// A part of the store doesn't answer, so that a new holder reads the rows only seconds after it has acquired the pool. The
// former holder doesn't reach the store, but the workers, and goes on renewing leases. The new one must not start their
// tasks before it has heard from the workers.
func TestTakeoverThatReadsRowsLate(t *testing.T) {
	// Only the last load takes longer than the longest lease from the acquisition.
	for _, load := range []time.Duration{time.Second, 5 * time.Second, 8 * time.Second, testMaxLeaseDuration + 2*time.Second} {
		t.Run(load.String(), func(t *testing.T) {
			is := is.New(t)
			w, first := newSimulationWithHolder(t, faults{}, 3)
			id := w.submit("job", urgentQueue, stepOfTasks(6, 12*time.Second))
			w.run(2 * time.Second)
			first.storeAway, first.noListUntil = true, w.now.Add(time.Hour)
			w.loadDuration = load
			for i, id := range []endive.WorkerID{"w0", "w1", "w2"} {
				w.workers[id].slowLink = time.Duration(2-i) * 60 * time.Millisecond
			}
			second := w.startHolder()
			w.run(2*time.Second + load + 500*time.Millisecond)
			is.True(second.machine.tenure.loaded)
			is.Equal(w.starts, 6)
			w.run(40 * time.Second)
			w.checkViolations()
			is.Equal(w.starts, 6)
			is.Equal(w.state(id), endive.WorkflowSucceeded)
		})
	}
}

// A worker loses its connection to the store and is no longer listed, while the holder still
// reaches the worker and renews its leases. A new holder that can't reach the worker must start
// none of its tasks elsewhere before these leases have expired, however long the worker has
// been unlisted.
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

// A worker restarts while its holder waits for an answer of the previous incarnation. The end
// of a run of the new incarnation has the number of an earlier end that is already recorded.
// The holder must not acknowledge the new end before it has received it.
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
	// The old connection is dead: the poll in flight gets no answer.
	worker := w.workers["w0"]
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	second := w.submit("job2", urgentQueue, stepOfTasks(1, 200*time.Millisecond))
	w.run(10 * time.Second)
	w.checkViolations()
	is.Equal(w.state(second), endive.WorkflowSucceeded)
	is.Equal(w.successCount["job2.0.0.0"], 1)
}

// After the feed has lost its history, a scan delivers a submission that it read before the
// workflow was cancelled, later than the feed delivers the cancellation. The workflow must be
// cancelled all the same.
func TestCancellationBeforeSubmission(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 2)
	workflow := endive.Workflow{ID: "job", Queue: urgentQueue.Name, Steps: []endive.Step{stepOfTasks(2, 700*time.Millisecond)}}
	w.jobs["job"] = &fakeJob{workflow: workflow, policy: urgentQueue}
	submission := endive.Row{Key: JobKey(testPool, "job"), Value: encodeRow(endive.Submission{Workflow: workflow, Policy: urgentQueue})}
	h.send(WorkChanged{Epoch: h.epoch, Rows: []endive.Row{{Key: CancelKey(testPool, "job"), Value: []byte("{}")}}})
	w.run(1100 * time.Millisecond)
	h.send(WorkChanged{Epoch: h.epoch, Rows: []endive.Row{submission}})
	w.run(3 * time.Second)
	is.Equal(w.starts, 0)
	is.Equal(w.state("job"), endive.WorkflowCancelled)
}

// A worker that only the roster has answers a new holder, restarts under the same id and is then
// listed. The ends of runs in its new incarnation, which are numbered from 1 again, must count.
func TestEndsOfUnlistedWorkerThatRestarted(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	worker := w.workers["w0"]
	w.submit("first", urgentQueue, stepOfTasks(4, 400*time.Millisecond))
	w.submit("long", urgentQueue, stepOfTasks(1, 4*time.Second))
	w.run(1300 * time.Millisecond)
	h.kill()
	worker.unlisted = true
	w.publishWorkers()
	second := w.startHolder()
	w.run(3 * time.Second)
	is.Equal(w.state("first"), endive.WorkflowSucceeded)
	is.Equal(second.machine.workers["w0"].lastEnd, endive.EndNumber(4))
	worker.unlisted = false
	worker.restart()
	w.submit("second", urgentQueue, stepOfTasks(2, 400*time.Millisecond))
	w.run(10 * time.Second)
	w.checkViolations()
	is.Equal(w.state("second"), endive.WorkflowSucceeded)
}
