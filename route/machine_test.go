package route

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"endiveroute.example/endive"
)

// TestMachinePromises checks under random events at one entry that the
// invariants of the simulation hold after each event, and that at the end each
// request that was not abandoned has an answer.
func TestMachinePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "executors")
		service := endive.Service{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), ShareEqual: rapid.Bool().Draw(t, "shareEqual")}
		w := newSimulation(n, service, t.Fatalf)
		for i := range rapid.IntRange(1, 150).Draw(t, "events") {
			w.randomEvent(t, i)
		}
		for len(w.inFlight) > 0 {
			w.reply(w.attemptsInFlight()[0], endive.Unknown, 0)
		}
		w.advance(time.Minute)
		for id, r := range w.requests {
			if r.answer == nil && !r.abandoned {
				t.Fatalf("request %s got no answer", id)
			}
		}
		w.step(Snapshot{Tag: "end"})
		if len(w.machine.attempts) > 0 || len(w.machine.clients) > 0 {
			t.Fatalf("%d attempts and %d clients are left", len(w.machine.attempts), len(w.machine.clients))
		}
	})
}

// randomEvent applies one random event.
func (s *simulation) randomEvent(t *rapid.T, i int) {
	open := s.attemptsInFlight()
	switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
	case op <= 3:
		question := rapid.IntRange(0, 4).Draw(t, "question")
		s.step(ClientRequest{
			Request: endive.RequestID(fmt.Sprintf("r%d", i)), Service: "quote",
			Deadline:      s.clock.Now().Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "left")) * time.Millisecond),
			NonIdempotent: rapid.IntRange(0, 3).Draw(t, "nonIdempotent") == 0,
			Body:          fmt.Appendf(nil, "question %d", question), Digest: Digest(fmt.Sprint(question)),
		})
	case op <= 6 && len(open) > 0:
		id := rapid.SampledFrom(open).Draw(t, "attempt")
		outcome := rapid.SampledFrom([]endive.Outcome{endive.Answered, endive.Answered, endive.NotRun, endive.Unknown}).Draw(t, "outcome")
		status := rapid.SampledFrom([]int{http.StatusOK, http.StatusOK, http.StatusInternalServerError}).Draw(t, "status")
		s.reply(id, outcome, status)
		if rapid.Bool().Draw(t, "twice") {
			s.step(AttemptResult{Attempt: id, Reply: endive.Reply{Outcome: endive.Answered, Status: http.StatusOK, Body: []byte("late")}})
		}
	case op == 7:
		s.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "advance")) * time.Millisecond)
	case op == 8:
		id := endive.RequestID(fmt.Sprintf("r%d", rapid.IntRange(0, i).Draw(t, "caller")))
		if r := s.requests[id]; r != nil && r.answer == nil {
			r.abandoned = true
			s.step(Abandon{Request: id})
		}
	case len(s.leaving) < len(s.view.Endpoints)-1 && rapid.IntRange(0, 4).Draw(t, "leave") == 0:
		s.announceLeaving(rapid.IntRange(0, len(s.view.Endpoints)-1).Draw(t, "executor"))
	}
}

// TestAttemptEnds checks the answer to a request and the number of attempts at
// it, for all results of attempts at idempotent and non-idempotent requests.
func TestAttemptEnds(t *testing.T) {
	type end struct {
		outcome endive.Outcome
		status  int
	}
	var (
		ok     = end{endive.Answered, http.StatusOK}
		broken = end{endive.Answered, http.StatusInternalServerError}
		notRun = end{endive.NotRun, 0}
		lost   = end{endive.Unknown, 0}
	)
	tests := []struct {
		name          string
		nonIdempotent bool
		ends          []end
		want          endive.Outcome
		status        int
		calls         int
	}{
		{"answered", false, []end{ok}, endive.Answered, 200, 1},
		{"not run, then answered", false, []end{notRun, ok}, endive.Answered, 200, 2},
		{"lost, then answered", false, []end{lost, ok}, endive.Answered, 200, 2},
		{"failure, then answered", false, []end{broken, ok}, endive.Answered, 200, 2},
		{"failure, then lost everywhere", false, []end{broken, lost, lost}, endive.Answered, 500, 3},
		{"not run anywhere", false, []end{notRun, notRun, notRun}, endive.NotRun, 0, 3},
		{"lost, then not run", false, []end{lost, notRun, notRun}, endive.Unknown, 0, 3},
		{"non-idempotent answered", true, []end{ok}, endive.Answered, 200, 1},
		{"non-idempotent lost", true, []end{lost}, endive.Unknown, 0, 1},
		{"non-idempotent failure", true, []end{broken}, endive.Answered, 500, 1},
		{"non-idempotent not run, then lost", true, []end{notRun, lost}, endive.Unknown, 0, 2},
		{"non-idempotent not run anywhere", true, []end{notRun, notRun, notRun}, endive.NotRun, 0, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(3, endive.Service{}, t.Fatalf)
			w.step(ClientRequest{Request: "r", Service: "quote", NonIdempotent: tt.nonIdempotent, Body: []byte("q")})
			for _, end := range tt.ends {
				is.Equal(len(w.inFlight), 1) // one attempt at a time
				w.reply(w.attemptsInFlight()[0], end.outcome, end.status)
			}
			got := w.requests["r"].answer
			is.True(got != nil) // answered
			is.Equal(got.Outcome, tt.want)
			is.Equal(got.Status, tt.status)
			is.Equal(w.dispatches, tt.calls)
		})
	}
}
