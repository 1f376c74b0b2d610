package cell

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/platform/stand"
)

// The answers of a worker arrive after the timeout of polls. The holder must still learn from them that a
// task has succeeded.
func TestAnswersBeyondTimeoutOfPollAreDropped(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 0, 1)
	r.workerHandler = func(h http.Handler) http.Handler {
		return stand.DelayedPolls{Handler: h, Delay: pollOverdueDelay + 600*time.Millisecond}
	}
	r.addWorker("i-0")
	r.awaitReady()
	c := r.holder()
	r.submitAccepted(c, "/quick/", "00000000000000aa", 1, false)
	r.waitFor("the workflow has succeeded", func() bool { return r.state(c, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	is.Equal(r.done["00000000000000aa.0.0.0"], 1)
	r.checkInvariants()
}
