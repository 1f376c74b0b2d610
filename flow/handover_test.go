package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A holder is stopped as planned while workflows run and the store is so slow that reading the
// rows takes seconds. The next holder must start new work at once, request no advice that was
// handed over, and start nothing twice.
func TestHandOverContinuesAtOnce(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 30)
	for i := range 20 {
		w.submit(fmt.Sprintf("job%d", i), adviceQueue, stepOfTasks(4, 1500*time.Millisecond), stepOfTasks(2, 300*time.Millisecond, 0))
	}
	cancelled := w.submit("cancelled", adviceQueue, stepOfTasks(40, 30*time.Second))
	w.run(2 * time.Second)
	w.cancel(cancelled)
	// The holder has received the cancellation but hasn't recorded it yet.
	w.run(2*time.Second + 2*time.Millisecond)
	next := h.handOver()
	is.True(w.handedOver != nil)
	w.loadDuration = 5 * time.Second
	w.run(w.now.Add(100 * time.Millisecond).Sub(w.start))
	is.True(next.machine.tenure.loaded)
	is.True(len(next.machine.jobs) >= 20)
	id := w.submit("fresh", urgentQueue, stepOfTasks(1, 200*time.Millisecond))
	w.run(w.now.Add(500 * time.Millisecond).Sub(w.start))
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	w.run(30 * time.Second)
	w.checkViolations()
	for i := range 20 {
		is.Equal(w.state(endive.JobID(fmt.Sprintf("job%d", i))), endive.WorkflowSucceeded)
	}
	is.Equal(w.state(cancelled), endive.WorkflowCancelled)
}

// A handed-over snapshot may be used in the next epoch only: after another tenure in between,
// it is out of date.
func TestStaleHandOverIsIgnored(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 3)
	id := w.submit("job1", urgentQueue, stepOfTasks(2, time.Second))
	w.run(1500 * time.Millisecond)
	second := h.handOver()
	stale := *w.handedOver
	w.run(4 * time.Second)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	second.kill()
	w.handedOver = &stale
	third := w.startHolder()
	w.run(6 * time.Second)
	w.checkViolations()
	is.Equal(len(third.machine.jobs), 0)
	is.Equal(w.starts, 2)
}

// The feed of a slow store lags behind the writes of the previous holder, and delivers to the
// next holder a submission whose workflow has ended and been archived in the meantime. That
// workflow must not be started again. This was seen once in twenty days and reported as TWICE:
// tasks started again after they had succeeded.
func TestStaleFeedAfterHandOver(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 3)
	id := w.submit("job1", urgentQueue, stepOfTasks(2, 100*time.Millisecond))
	row := w.rows[JobKey(testPool, id)]
	w.run(5 * time.Second)
	is.Equal(w.countRows(WorkPrefix(testPool)), 0)
	next := h.handOver()
	w.run(6 * time.Second)
	next.step(WorkChanged{Epoch: next.epoch, Rows: []endive.Row{row}, Revision: endive.Revision(row.Version)})
	w.run(9 * time.Second)
	w.checkViolations()
	is.Equal(w.starts, 2)
}

// An entry loses the pool while it reads rows that are missing from the feed, and acquires it again. What it had read
// before arrives then: the workflow has ended under the holder in between, and its rows are archived.
func TestRowsOfFormerTenureAreIgnored(t *testing.T) {
	is := is.New(t)
	w, first := newSimulationWithHolder(t, faults{}, 3)
	id := w.submit("job1", urgentQueue, stepOfTasks(2, 100*time.Millisecond))
	stale := WorkChanged{Epoch: first.epoch, Rows: []endive.Row{w.rows[JobKey(testPool, id)]}}
	first.kill()
	second := w.startHolder()
	w.run(5 * time.Second)
	is.Equal(w.countRows(WorkPrefix(testPool)), 0)
	second.kill()
	third := w.startHolder()
	w.run(6 * time.Second)
	third.step(stale)
	w.run(9 * time.Second)
	w.checkViolations()
	is.Equal(w.starts, 2)
}

// A hand-over must include the advice: eligible workers, ineligible workers, and the expiry
// of each ticket.
func TestHandOverIncludesAdvice(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var original tickets
	original.add([]endive.AdviceGrant{{Worker: "a", Ticket: "1"}}, []endive.WorkerID{"x", "y"}, now.Add(time.Second))
	original.add([]endive.AdviceGrant{{Worker: "b", Ticket: "2"}}, []endive.WorkerID{"z"}, now.Add(2*time.Second))
	var restored tickets
	for _, advice := range original.toForwardedAdvice("job1.0.0") {
		restored.add(advice.Grants, advice.Ineligible, advice.Expiry)
	}
	is.Equal(restored.eligible, original.eligible)
	is.Equal(restored.ineligible, original.ineligible)
	is.Equal(restored.eligibleIDs, original.eligibleIDs)
}

// An unlisted worker lists the end of a run that isn't recorded yet. The pool changes its
// holder: the next one must still ask this worker, or the task would run again.
func TestHandOverKeepsUnlistedWorkerWithUnrecordedEnd(t *testing.T) {
	is := is.New(t)
	w, h, id := newSimulationWithRun(t, 2)
	w.faults.lostWrite = 1
	for _, worker := range w.workers {
		worker.unlisted = len(worker.runs) > 0
	}
	w.publishWorkers()
	w.run(1900 * time.Millisecond)
	is.Equal(w.runningTasks(id), 0)
	w.faults.lostWrite = 0
	h.handOver()
	w.run(12 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 1)
}

// After a hand-over the next holder uses the parts of the accounts' caps at once, before it has
// read them in the store.
func TestHandOverPassesPartsOfCaps(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.accounts = faultAccounts()
	w.addWorkers(4)
	h := w.startHolder()
	w.run(time.Second)
	w.submitFor("a", "first", urgentQueue, stepOfTasks(2, 700*time.Millisecond))
	w.run(1500 * time.Millisecond)
	w.quotaReadTime = time.Minute
	next := h.handOver()
	w.submitFor("a", "second", urgentQueue, stepOfTasks(2, 700*time.Millisecond))
	w.run(1600 * time.Millisecond)
	is.Equal(w.runningTasks("second"), 2)
	is.True(!next.machine.quotas.use("a").heldBack)
	w.run(5 * time.Second)
	w.checkViolations()
}

// A holder loses the pool and holds it again at once. An order of its earlier tenure is refused by a worker that has answered
// the new one, which has adopted the run. That must not end the new tenure, too.
func TestRefusedOrderOfEarlierTenureEndsNextTenure(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	id := w.submit("job", urgentQueue, stepOfTasks(1, 20*time.Second))
	w.run(2 * time.Second)
	is.Equal(w.runningTasks(id), 1)
	number := w.workers["w0"].runs["job.0.0.0"].number
	h.step(TenureEnded{})
	h.regain()
	w.run(2200 * time.Millisecond)
	is.True(h.machine.workers["w0"].findRun("job.0.0.0", number) != nil) // adopted
	h.step(StopResult{Worker: "w0", Task: "job.0.0.0", Run: number, Result: OrderAnswered, Answer: endive.OrderAnswer{Refused: endive.RefusalEpoch}})
	is.True(h.machine.tenure.active)
}
