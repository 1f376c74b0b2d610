package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The load: a pool under way whose holder is stopped by plan, while the store is so slow
// that reading the rows takes seconds. The next holder starts new work at once, asks
// nothing again that is known of the workers, and starts nothing twice.
func TestHandOverContinuesAtOnce(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 30)
	for i := range 20 {
		w.submit(fmt.Sprintf("job%d", i), adviceQueue, stepOfTasks(4, 1500*time.Millisecond), stepOfTasks(2, 300*time.Millisecond, 0))
	}
	cancelled := w.submit("cancelled", adviceQueue, stepOfTasks(40, 30*time.Second))
	w.run(2 * time.Second)
	w.cancel(cancelled)
	// The cancelling is known to the holder, and not recorded yet.
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

// What is given counts for the next epoch only: a holder that came in between has made
// it old.
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

// The load: a slow store whose feed lags behind what the last holder did. The feed tells the
// next holder of a workflow that has ended and whose submission is deleted meanwhile: it
// isn't started again. Seen as TWICE, once, in twenty days.
func TestStaleFeedAfterHandOver(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 3)
	id := w.submit("job1", urgentQueue, stepOfTasks(2, 100*time.Millisecond))
	row := w.rows[JobKey(testPool, id)]
	w.run(5 * time.Second)
	is.Equal(w.count(WorkPrefix(testPool)), 0)
	next := h.handOver()
	w.run(6 * time.Second)
	next.step(WorkChanged{Rows: []endive.Row{row}, Revision: endive.Revision(row.Version)})
	w.run(9 * time.Second)
	w.checkViolations()
	is.Equal(w.starts, 2)
}

// What is known of the workers goes on with the pool: good ones, bad ones, and until when
// tickets are valid.
func TestHandOverIncludesAdvice(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var known tickets
	known.add([]endive.AdviceGrant{{Worker: "a", Ticket: "1"}}, []endive.WorkerID{"x", "y"}, now.Add(time.Second))
	known.add([]endive.AdviceGrant{{Worker: "b", Ticket: "2"}}, []endive.WorkerID{"z"}, now.Add(2*time.Second))
	var got tickets
	for _, advice := range known.forwarded("job1.0.0") {
		got.add(advice.Grants, advice.Ineligible, advice.Expiry)
	}
	is.Equal(got.eligible, known.eligible)
	is.Equal(got.ineligible, known.ineligible)
	is.Equal(got.eligibleIDs, known.eligibleIDs)
}
