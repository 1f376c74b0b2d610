package route

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// sendRequests sends the given number of requests.
func (s *simulation) sendRequests(n int, nonIdempotent bool) {
	for range n {
		id := endive.RequestID(fmt.Sprintf("r%d", len(s.requests)))
		s.step(ClientRequest{Request: id, Service: "quote", NonIdempotent: nonIdempotent, Body: []byte("q")})
	}
}

// learnServiceTime answers 40 requests after 100 ms each, so that the machine
// expects this service time.
func (s *simulation) learnServiceTime() {
	for range 40 {
		s.sendRequests(1, false)
		s.advance(100 * time.Millisecond)
		s.reply(s.attemptsInFlight()[0], endive.Answered, http.StatusOK)
	}
	s.dispatches = 0
}

// TestLeaving checks that an executor gets no requests after its departure
// became known, from the members list, a response or a ticket.
func TestLeaving(t *testing.T) {
	announcements := map[string]func(*simulation){
		"view": func(w *simulation) { w.announceLeaving(0) },
		"answer": func(w *simulation) {
			w.sendRequests(1, false)
			a := w.attemptsInFlight()[0]
			if w.inFlight[a].call.Executor != "x00" {
				t.Fatal("the first request was not sent to x00")
			}
			w.leaving["x00"] = true
			w.step(AttemptResult{Attempt: a, Reply: endive.Reply{Outcome: endive.Answered, Status: 200, Body: []byte("re q"), Leaving: true}})
			w.step(w.view) // an outdated list still has the executor as live
		},
		"ticket": func(w *simulation) {
			w.leaving["x00"] = true
			drain := endive.Drain{Instance: "x00"}
			w.config.Resources[drain.Key()] = endive.ConfiguredResource{Ticket: 2, Drain: &drain}
			w.step(endive.ConfigChanged{Config: w.config})
		},
	}
	for name, sign := range announcements {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(2, endive.Service{Slots: 2}, t.Fatalf)
			sign(w)
			w.sendRequests(5, false)
			is.Equal(len(w.inFlight), 2) // only on the other executor
		})
	}
}

// TestEjection checks that no more than a third of the executors is ejected
// when four of six fail all requests, and that probes readmit them once they
// work again.
func TestEjection(t *testing.T) {
	is := is.New(t)
	w := newSimulation(6, endive.Service{Slots: 1}, t.Fatalf)
	failing := func(x endive.ExecutorID) bool { return x <= "x03" }
	answer := func() {
		for _, id := range w.attemptsInFlight() {
			if failing(w.inFlight[id].call.Executor) {
				w.reply(id, endive.Unknown, 0)
			} else {
				w.reply(id, endive.Answered, http.StatusOK)
			}
		}
	}
	ejected := func() (n int) {
		for _, x := range w.machine.executors {
			if x.health.ejected {
				n++
			}
		}
		return n
	}
	for range 60 {
		w.sendRequests(6, true)
		w.advance(500 * time.Millisecond)
		answer()
	}
	is.Equal(ejected(), 2) // a third of six
	failing = func(endive.ExecutorID) bool { return false }
	for range 100 {
		w.sendRequests(2, false)
		w.advance(200 * time.Millisecond)
		answer()
	}
	is.Equal(ejected(), 0) // readmitted after probes
}

// TestEarlyTry checks that an idempotent request without a reply gets a second
// attempt on a new connection to another executor, and a non-idempotent one
// doesn't.
func TestEarlyTry(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("nonIdempotent=%t", nonIdempotent), func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(2, endive.Service{}, t.Fatalf)
			w.learnServiceTime()
			w.sendRequests(1, nonIdempotent)
			first := w.attemptsInFlight()[0]
			w.advance(500 * time.Millisecond)
			if nonIdempotent {
				is.Equal(w.dispatches, 1) // attempts
				return
			}
			is.Equal(w.dispatches, 2) // attempts
			for id, f := range w.inFlight {
				is.Equal(f.call.FreshConnection, id != first)
				if id != first {
					is.True(f.call.Executor != w.inFlight[first].call.Executor)
				}
			}
		})
	}
}

// TestAdmission checks that requests beyond those that can be finished before
// their deadline are refused immediately, with a time to retry.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, endive.Service{Slots: 1, Timeout: endive.Interval(time.Second)}, t.Fatalf)
	w.learnServiceTime()
	w.sendRequests(30, false)
	refused := 0
	for _, r := range w.requests {
		if r.answer != nil && r.answer.Outcome == endive.NotRun {
			refused++
		}
	}
	waiting := w.machine.services["quote"].queue.len()
	is.True(refused >= 20)          // ten of 100 ms each fit into one second
	is.True(waiting >= 5)           // most of these ten are queued
	is.Equal(refused+waiting+1, 30) // one is running
	is.Equal(len(w.machine.clients), 1+waiting)
}

// TestSharing checks that identical requests share one execution, and that a
// client that disconnects doesn't cancel it for the others.
func TestSharing(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, endive.Service{Slots: 1, ShareEqual: true}, t.Fatalf)
	for _, id := range []endive.RequestID{"a", "b", "c"} {
		w.step(ClientRequest{Request: id, Service: "quote", Body: []byte("q"), Digest: "q"})
	}
	is.Equal(w.dispatches, 1)
	w.requests["a"].abandoned = true
	w.step(Abandon{Request: "a"})
	w.reply(w.attemptsInFlight()[0], endive.Answered, http.StatusOK)
	for _, id := range []endive.RequestID{"b", "c"} {
		is.True(w.requests[id].answer != nil) // answered under its own id
		is.Equal(string(w.requests[id].answer.Body), "re q")
	}
}

// TestCrossing checks that requests are sent to another region only if the
// expected wait exceeds the additional round trip and the cross-region budget
// allows it.
func TestCrossing(t *testing.T) {
	is := is.New(t)
	w := newSimulation(4, endive.Service{Slots: 1}, t.Fatalf)
	w.view.Endpoints[2].Region, w.view.Endpoints[3].Region = "de", "de"
	w.step(w.view)
	w.learnServiceTime()
	w.sendRequests(2, false)
	is.Equal(w.dispatches, 2) // both local executors are busy
	w.sendRequests(1, false)
	is.Equal(w.dispatches, 2) // expected local wait 50 ms, additional round trip 60 ms
	w.sendRequests(1, false)
	is.Equal(w.dispatches, 3) // two are queued: the wait exceeds the round trip
	w.machine.crossRegionBudget.tokens = 0
	w.sendRequests(4, false)
	is.Equal(w.dispatches, 3) // the budget is exhausted
	w.advance(time.Second / 10)
	w.sendRequests(1, false)
	is.Equal(w.dispatches, 4) // the budget was refilled
}

// TestDrain checks that a planned stop finishes queued and running requests and
// refuses new ones.
func TestDrain(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, endive.Service{Slots: 1}, t.Fatalf)
	w.sendRequests(2, false)
	w.step(Drain{})
	w.sendRequests(1, false)
	is.Equal(w.requests["r2"].answer.Outcome, endive.NotRun)
	is.True(!w.drained) // two are left
	w.reply(w.attemptsInFlight()[0], endive.Answered, http.StatusOK)
	w.reply(w.attemptsInFlight()[0], endive.Answered, http.StatusOK)
	is.Equal(w.requests["r1"].answer.Outcome, endive.Answered)
	is.True(w.drained)
}

// TestBounds checks that the connections to an executor and the queued requests
// stay within their limits, and that further requests are refused.
func TestBounds(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, endive.Service{Slots: 4, Connections: 4}, t.Fatalf)
	w.machine.settings.QueueLimit = 3
	w.sendRequests(7, false)
	is.Equal(len(w.inFlight), 2)            // half of the connections are reserved for a starting entry
	is.Equal(len(w.machine.clients), 2+3)   // running and queued
	is.True(w.requests["r5"].answer != nil) // refused
}

// A request that crashes each executor that gets it was sent to one executor after the other,
// beside enough other requests for the retry budget to last.
func TestDeadlyRequestIsGivenUp(t *testing.T) {
	is := is.New(t)
	w := newSimulation(12, endive.Service{Slots: 4}, t.Fatalf)
	const deadly = endive.RequestID("r0")
	w.sendRequests(1, false)
	crashes := 0
	for range 60 {
		w.sendRequests(20, false)
		for _, id := range w.attemptsInFlight() {
			if w.inFlight[id].call.Request == deadly {
				crashes++
				w.reply(id, endive.Unknown, 0)
				continue
			}
			w.reply(id, endive.Answered, http.StatusOK)
		}
		w.advance(10 * time.Millisecond)
	}
	is.Equal(crashes, maxBrokenAttempts)
	is.Equal(w.requests[deadly].answer.Outcome, endive.Unknown)
}
