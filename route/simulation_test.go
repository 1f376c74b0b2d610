package route

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/slots"
)

// attemptInFlight is an attempt that runs on a simulated executor.
type attemptInFlight struct {
	call      endive.Call
	cancelled bool
}

// requestRecord is a request with its answer.
type requestRecord struct {
	request   ClientRequest
	answer    *Answer
	abandoned bool
}

// simulation drives one Machine and checks the invariants after each event.
type simulation struct {
	clock    *fakes.Clock
	machine  *Machine
	view     endive.MembersChanged
	config   endive.Config
	requests map[endive.RequestID]*requestRecord
	inFlight map[endive.AttemptID]*attemptInFlight
	// unknownCalls are attempts that ended with Unknown. The executor may run
	// them until their deadline.
	unknownCalls []endive.Call
	// attemptOutcomes holds the outcomes of the ended attempts of each request.
	attemptOutcomes map[endive.RequestID][]endive.Outcome
	leaving         map[endive.ExecutorID]bool
	slotsEach       int
	wakeAt          time.Time
	dispatches      int
	drained         bool
	fatalf          func(format string, args ...any)
}

// newSimulation has one entry and the given number of live executors of the
// service "quote". All their slots belong to the entry.
func newSimulation(n int, service endive.Service, fatalf func(string, ...any)) *simulation {
	service.Name = "quote"
	service.Defaults()
	self := endive.Peer{ID: "e1", Region: "gogledd", Zone: "a", State: endive.MemberLive}
	w := &simulation{
		clock: fakes.NewClock(), requests: make(map[endive.RequestID]*requestRecord),
		inFlight: make(map[endive.AttemptID]*attemptInFlight), attemptOutcomes: make(map[endive.RequestID][]endive.Outcome),
		leaving: make(map[endive.ExecutorID]bool), slotsEach: service.Slots, fatalf: fatalf,
		view: endive.MembersChanged{Self: self, Peers: endive.Peers{self}},
		config: endive.Config{Resources: map[endive.ResourceKey]endive.ConfiguredResource{
			service.Key(): {Ticket: 1, Service: &service},
		}},
	}
	for i := range n {
		w.view.Endpoints = append(w.view.Endpoints, endive.Endpoint{State: endive.MemberLive, Instance: endive.Instance{
			ID: fmt.Sprintf("x%02d", i), Kind: endive.KindExecutor, Region: "gogledd", Zone: "a", Service: "quote",
		}})
	}
	settings := DefaultSettings("e1", "i1")
	w.machine = New(settings, slots.NewShares(), LowestLatency{})
	w.step(endive.ConfigChanged{Config: w.config})
	w.step(w.view)
	return w
}

// step applies one event and performs the resulting actions.
func (s *simulation) step(event endive.Event) {
	if ask, ok := event.(ClientRequest); ok {
		s.requests[ask.Request] = &requestRecord{request: ask}
	}
	if r, ok := event.(AttemptResult); ok {
		if f := s.inFlight[r.Attempt]; f != nil {
			s.attemptOutcomes[f.call.Request] = append(s.attemptOutcomes[f.call.Request], r.Reply.Outcome)
			if r.Reply.Outcome == endive.Unknown {
				s.unknownCalls = append(s.unknownCalls, f.call)
			}
			delete(s.inFlight, r.Attempt)
		}
	}
	for _, action := range s.machine.Step(s.clock.Now(), event) {
		s.perform(action)
	}
}

// perform records the effect of one action and checks the invariants of
// dispatches and answers.
func (s *simulation) perform(action endive.Action) {
	switch a := action.(type) {
	case Dispatch:
		s.checkDispatch(a.Call)
	case CancelCall:
		if f := s.inFlight[a.Attempt]; f != nil {
			f.cancelled = true
		}
	case Answer:
		s.checkAnswer(a)
	case Drained:
		s.drained = true
	case endive.SetWake:
		s.wakeAt = a.At
	}
}

// checkDispatch checks the invariants of a dispatch: free slots, no leaving
// executor, and at most one run of a non-idempotent request.
func (s *simulation) checkDispatch(call endive.Call) {
	s.dispatches++
	request := s.requests[call.Request]
	busy := 1
	for _, f := range s.inFlight {
		if f.call.Executor == call.Executor {
			busy++
		}
		if f.call.Request == call.Request && request.request.NonIdempotent {
			s.fatalf("non-idempotent request %s runs on %s and %s", call.Request, f.call.Executor, call.Executor)
		}
	}
	for _, c := range s.unknownCalls {
		if c.Executor == call.Executor && c.Deadline.After(s.clock.Now()) {
			busy++
		}
	}
	if busy > s.slotsEach {
		s.fatalf("executor %s runs %d requests", call.Executor, busy)
	}
	if s.leaving[call.Executor] {
		s.fatalf("leaving executor %s got request %s", call.Executor, call.Request)
	}
	for _, end := range s.attemptOutcomes[call.Request] {
		if end != endive.NotRun && request.request.NonIdempotent {
			s.fatalf("non-idempotent request %s was retried after outcome %s", call.Request, end)
		}
	}
	if request.answer != nil {
		s.fatalf("request %s was dispatched after its answer", call.Request)
	}
	s.inFlight[call.Attempt] = &attemptInFlight{call: call}
}

// checkAnswer checks that a request gets one answer with the right body and
// outcome.
func (s *simulation) checkAnswer(a Answer) {
	r := s.requests[a.Request]
	switch {
	case r == nil:
		s.fatalf("answer to unknown request %s", a.Request)
	case r.abandoned:
		s.fatalf("answer to abandoned request %s", a.Request)
	case r.answer != nil:
		s.fatalf("second answer to request %s", a.Request)
	case a.Outcome == endive.Answered && string(a.Body) != "re "+string(r.request.Body):
		s.fatalf("request %s with body %q got answer %q", a.Request, r.request.Body, a.Body)
	case a.Outcome == endive.NotRun && s.mayHaveRun(a.Request):
		s.fatalf("request %s got outcome notRun, but may have run", a.Request)
	case a.Outcome == endive.NotRun && a.RetryAt.IsZero():
		s.fatalf("request %s got outcome notRun without a time to retry", a.Request)
	}
	r.answer = &a
}

// mayHaveRun reports whether an attempt sent under the request's id is running
// or has ended other than with NotRun.
func (s *simulation) mayHaveRun(id endive.RequestID) bool {
	for _, f := range s.inFlight {
		if f.call.Request == id {
			return true
		}
	}
	for _, end := range s.attemptOutcomes[id] {
		if end != endive.NotRun {
			return true
		}
	}
	return false
}

// attemptsInFlight returns the ids of the running attempts, sorted.
func (s *simulation) attemptsInFlight() []endive.AttemptID {
	ids := make([]string, 0, len(s.inFlight))
	for id := range s.inFlight {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	attempts := make([]endive.AttemptID, 0, len(ids))
	for _, id := range ids {
		attempts = append(attempts, endive.AttemptID(id))
	}
	return attempts
}

// reply ends an attempt with the given outcome.
func (s *simulation) reply(id endive.AttemptID, outcome endive.Outcome, status int) {
	f := s.inFlight[id]
	reply := endive.Reply{Outcome: outcome, Status: status, Reason: "set by the test"}
	if outcome == endive.Answered {
		reply.Body = []byte("re " + string(f.call.Body))
	}
	s.step(AttemptResult{Attempt: id, Reply: reply})
}

// announceLeaving changes an executor's state to leaving.
func (s *simulation) announceLeaving(i int) {
	s.leaving[endive.ExecutorID(s.view.Endpoints[i].ID)] = true
	s.view.Endpoints = append(endive.Endpoints{}, s.view.Endpoints...)
	s.view.Endpoints[i].State = endive.MemberLeaving
	s.step(s.view)
}

// advance moves the clock forward, sends the wake-ups that the machine
// requested, and ends each attempt 100 ms after its deadline.
func (s *simulation) advance(d time.Duration) {
	end := s.clock.Now().Add(d)
	for {
		next, overdue := s.wakeAt, endive.AttemptID("")
		for _, id := range s.attemptsInFlight() {
			at := s.inFlight[id].call.Deadline.Add(100 * time.Millisecond)
			if next.IsZero() || at.Before(next) {
				next, overdue = at, id
			}
		}
		if next.IsZero() || next.After(end) {
			break
		}
		s.clock.Advance(max(0, next.Sub(s.clock.Now())))
		if overdue != "" {
			s.reply(overdue, endive.Unknown, 0)
			continue
		}
		s.wakeAt = time.Time{}
		s.step(endive.Wake{})
	}
	s.clock.Advance(end.Sub(s.clock.Now()))
}
