package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The answer to the write of a job is lost, the client cancels the job, and the store performs the write
// seconds later. The job must not start: its cancellation has been acknowledged.
func TestCancelledJobIsNotStoredLater(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 1, 2)
	r.awaitReady()
	const id, late = "00000000000000aa", 5 * time.Second
	first, second := r.cells[0], r.cells[1]
	r.store.DelayWrites("known.", late)
	written := time.Now()
	is.Equal(r.submit(first, "/quick/", id, 2, false).Status, endive.SubmitUnknown)
	r.store.DelayWrites("", 0)
	match := second.Match("a.example", "/quick/"+id, "")
	r.waitFor("the store is usable", second.Store.usable)
	err := second.Cancel(t.Context(), match.Queue, match.Caller, id)
	is.True(endive.ErrNotFound.Has(err))
	r.waitFor("the retry of the job is refused for good", func() bool {
		status := r.submit(first, "/quick/", id, 2, false).Status
		is.True(status != endive.SubmitAccepted)
		return status == endive.SubmitRevoked
	})
	time.Sleep(time.Until(written.Add(late + time.Second)))
	is.Equal(len(r.log.lines("ordered", id)), 0)
	is.Equal(r.state(second, "/quick/", id), endive.WorkflowState("not found: there is no workflow "+id))
}
