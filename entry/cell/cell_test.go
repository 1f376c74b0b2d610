package cell

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/platform/stand"
)

func TestWorkflowsSucceed(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 4, 2)
	r.awaitReady()
	for i := range 10 {
		path := []string{"/quick/", "/slow/"}[i%2]
		r.submitAccepted(r.cells[i%2], path, fmt.Sprintf("%016x", i), 4, true)
	}
	for i := range 10 {
		path := []string{"/quick/", "/slow/"}[i%2]
		r.waitFor("a workflow has succeeded", func() bool {
			return r.state(r.cells[1], path, fmt.Sprintf("%016x", i)) == endive.WorkflowSucceeded
		})
	}
	r.checkInvariants()
	is.Equal(r.state(r.cells[0], "/quick/", "ffffffffffffffff"), endive.WorkflowState("not found: there is no workflow ffffffffffffffff"))
}

// The same id is the same workflow, at any entry.
func TestResubmissionIsTheSameWorkflow(t *testing.T) {
	r := newTestCluster(t, 2, 2)
	r.awaitReady()
	for _, c := range r.cells {
		r.submitAccepted(c, "/quick/", "00000000000000aa", 3, false)
	}
	r.waitFor("it has succeeded", func() bool { return r.state(r.cells[0], "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	r.submitAccepted(r.cells[1], "/quick/", "00000000000000aa", 3, false)
	r.checkInvariants()
}

// The holder dies while work runs: another entry adopts it, and nothing runs twice.
func TestHolderFailure(t *testing.T) {
	r := newTestCluster(t, 4, 3)
	r.taskDuration = 2 * time.Second
	r.awaitReady()
	first := r.holder()
	for i := range 8 {
		r.submitAccepted(first, "/quick/", fmt.Sprintf("%016x", i), 4, true)
	}
	r.waitFor("work runs", func() bool { return len(r.log.lines("ordered", `"kind":"start"`)) > 8 })
	first.Close()
	var other *Cell
	r.waitFor("another holds the pool", func() bool { other = r.holder(); return other != nil })
	for i := range 8 {
		r.waitFor("a workflow has succeeded", func() bool {
			return r.state(other, "/quick/", fmt.Sprintf("%016x", i)) == endive.WorkflowSucceeded
		})
	}
	r.checkInvariants()
}

// A planned stop hands the pool over at once.
func TestDrainHandsOverPool(t *testing.T) {
	r := newTestCluster(t, 2, 2)
	r.awaitReady()
	first := r.holder()
	first.Drain()
	r.waitFor("the pool is given up", first.HoldsNoPool)
	r.waitFor("another holds it", func() bool { other := r.holder(); return other != nil && other != first })
	if first.Ready() {
		t.Error("an entry that leaves is ready")
	}
}

// While the store refuses, new work is refused as not run; what runs is kept alive,
// and its end is told afterwards.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 1)
	r.taskDuration = 500 * time.Millisecond
	r.awaitReady()
	c := r.cells[0]
	r.submitAccepted(c, "/quick/", "00000000000000aa", 3, false)
	r.waitFor("it runs", func() bool { return len(r.log.lines("ordered", "00000000000000aa")) == 3 })
	r.store.SetFault(stand.FaultBusy)
	r.waitFor("the outage is noticed", func() bool { return !c.Store.usable() })
	refused := r.submit(c, "/quick/", "00000000000000bb", 3, false)
	is.Equal(refused.Status, endive.SubmitUnavailable)
	is.True(refused.RetryAfter > 0)
	r.waitFor("the tasks have ended", func() bool { return len(r.log.lines("succeeded", `"kind":"end"`)) == 3 })
	r.store.SetFault(stand.FaultNone)
	r.waitFor("it has succeeded", func() bool { return r.state(c, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	is.Equal(len(r.log.lines("00000000000000bb", "ordered")), 0)
	r.checkInvariants()
}

// The store's feed forgets its history: nothing is missed.
func TestFeedHistoryLost(t *testing.T) {
	r := newTestCluster(t, 2, 2)
	r.awaitReady()
	for i := range 6 {
		r.store.DropHistory()
		r.submitAccepted(r.cells[i%2], "/quick/", fmt.Sprintf("%016x", i), 2, false)
	}
	for i := range 6 {
		r.waitFor("a workflow has succeeded", func() bool {
			return r.state(r.cells[0], "/quick/", fmt.Sprintf("%016x", i)) == endive.WorkflowSucceeded
		})
	}
	r.checkInvariants()
}

// From the id of a failed workflow to its cause, by the log alone: each decision has
// a line with its inputs.
func TestLogExplainsWorkflowFailure(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 1)
	r.failingPrefix = "00000000000000aa"
	r.awaitReady()
	c := r.cells[0]
	r.submitAccepted(c, "/quick/", "00000000000000aa", 1, false)
	r.waitFor("it has failed", func() bool { return r.state(c, "/quick/", "00000000000000aa") == endive.WorkflowFailed })
	is.Equal(len(r.log.lines("00000000000000aa", `"kind":"submit"`, `"outcome":"accepted"`, `"configVersion":3`)), 1)
	is.Equal(len(r.log.lines("00000000000000aa", `"kind":"job"`, `"outcome":"taken up"`)), 1)
	is.Equal(len(r.log.lines("00000000000000aa", `"kind":"start"`, `"outcome":"ordered"`, `"worker":"i-`)), 2)
	is.Equal(len(r.log.lines("00000000000000aa", `"kind":"end"`, `"outcome":"failed"`)), 2)
	is.Equal(len(r.log.lines("00000000000000aa", `"kind":"job"`, `"outcome":"failed"`, "failed 2 times")), 1)
	r.checkInvariants()
}

func TestCancelStopsRunningTasks(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 2)
	r.taskDuration = 0
	r.awaitReady()
	r.submitAccepted(r.cells[0], "/quick/", "00000000000000aa", 3, false)
	r.waitFor("it runs", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.running) == 3 })
	queue := r.cells[1].Match("a.example", "/quick/").Queue
	is.NoErr(r.cells[1].Cancel(t.Context(), queue, "00000000000000aa"))
	r.waitFor("nothing runs", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.running) == 0 })
	r.waitFor("it is cancelled", func() bool { return r.state(r.cells[0], "/quick/", "00000000000000aa") == endive.WorkflowCancelled })
	is.True(endive.ErrNotFound.Has(r.cells[0].Cancel(t.Context(), queue, "00000000000000ff")))
	r.checkInvariants()
}

// An entry that the store turns away has another do what its callers ask for.
func TestRelayThroughAnotherEntry(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 2)
	r.awaitReady()
	isolated := r.entryExcept(r.holder())
	r.waitFor("the entries are linked", func() bool { return len(isolated.peers.linkedEntries()) == 1 })
	isolated.Store.recordResultNow(endive.ErrUnavailable.New("turned away"))
	before := len(r.log.lines(`"kind":"relay"`, "RELAY_DONE"))
	// A refusal says that nothing was done, so a caller may come back; the session
	// between the entries may not be open yet.
	queue, job := isolated.Match("a.example", "/quick/").Queue, encodeSubmission(isolated, "00000000000000aa")
	r.waitFor("the submission is relayed", func() bool {
		result := isolated.relaySubmission(t.Context(), queue, "00000000000000aa", job)
		is.True(result.Status == endive.SubmitAccepted || result.Status == endive.SubmitUnavailable)
		return result.Status == endive.SubmitAccepted
	})
	r.waitFor("the relaying is logged", func() bool { return len(r.log.lines(`"kind":"relay"`, "RELAY_DONE")) > before })
	r.waitFor("it has succeeded", func() bool { return r.state(isolated, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	r.checkInvariants()
}

// While no entry holds a pool, what waits in it isn't known, and nobody is told a wrong
// count; the next holder tells it.
func TestPendingCountWithoutHolder(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 0, 2)
	r.awaitReady()
	first := r.holder()
	other := r.entryExcept(first)
	queue := other.Match("a.example", "/quick/").Queue
	for i := range 3 {
		r.submitAccepted(other, "/quick/", fmt.Sprintf("%016x", i), 1, false)
	}
	pending := func() int {
		count, err := other.Pending(t.Context(), queue)
		if err != nil {
			is.True(endive.ErrUnavailable.Has(err))
			return -1
		}
		return count
	}
	r.waitFor("three workflows wait", func() bool { return pending() == 3 })
	other.poolNamed("svc").release()
	first.Close()
	r.waitFor("the count isn't known", func() bool { return pending() == -1 })
	third := r.addEntry("entry-2")
	r.waitFor("the next holder tells it", func() bool {
		count, err := third.Pending(t.Context(), queue)
		return err == nil && count == 3
	})
}

// A holder that the store turns away has another entry take its pool.
func TestHolderWithoutStoreOffersItsPool(t *testing.T) {
	r := newTestCluster(t, 2, 3)
	r.awaitReady()
	first := r.holder()
	r.waitFor("the entries are linked", func() bool { return len(first.peers.linkedEntries()) == 2 })
	p := first.poolNamed("svc")
	r.waitFor("another holds the pool", func() bool {
		first.leases.offerPools()
		return !p.holding.Load()
	})
	r.waitFor("another holds the pool", func() bool { other := r.holder(); return other != nil && other != first })
	r.checkInvariants()
}

// encodeSubmission returns the row of a workflow with one task.
func encodeSubmission(c *Cell, id endive.JobID) []byte {
	match := c.Match("a.example", "/quick/")
	row, err := json.Marshal(endive.Submission{
		Workflow: endive.Workflow{ID: id, Queue: "quick", Steps: []endive.Step{{Tasks: 1, Need: endive.Resources{Processors: 100}}}},
		Policy:   match.Queue, ConfigVersion: match.ConfigVersion,
	})
	if err != nil {
		panic(err)
	}
	return row
}
