package cell

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// delayedPolls delays the answers to polls, as a congested network does.
type delayedPolls struct {
	http.Handler
	delay time.Duration
}

func (d delayedPolls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/hold" {
		d.Handler.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	d.Handler.ServeHTTP(answer, r)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(d.delay):
	}
	w.WriteHeader(answer.Code)
	// A failed write means that the connection is closed.
	_, _ = w.Write(answer.Body.Bytes())
}

// The answers of a worker arrive after the timeout of polls. The holder must still learn from them that a
// task has succeeded.
func TestAnswersBeyondTimeoutOfPollAreDropped(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 0, 1)
	r.workerHandler = func(h http.Handler) http.Handler {
		return delayedPolls{Handler: h, delay: pollOverdueDelay + 600*time.Millisecond}
	}
	r.addWorker("i-0")
	r.awaitReady()
	c := r.holder()
	r.submitAccepted(c, "/quick/", "00000000000000aa", 1, false)
	r.waitFor("the workflow has succeeded", func() bool { return r.state(c, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	is.Equal(r.done["00000000000000aa.0.0.0"], 1)
	r.checkInvariants()
}
