package route

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/slots"
)

// attemptInFlight is an attempt that the test's executors hold.
type attemptInFlight struct {
	call      endive.Call
	cancelled bool
}

// requestRecord is what the test knows of a request.
type requestRecord struct {
	request   ClientRequest
	answer    *Answer
	abandoned bool
}

// simulation drives one Machine and checks the promises at each step.
type simulation struct {
	clock    *fakes.Clock
	machine  *Machine
	view     endive.MembersChanged
	config   endive.Config
	requests map[endive.RequestID]*requestRecord
	inFlight map[endive.AttemptID]*attemptInFlight
	// unknownCalls are attempts whose end is unknown: the executor may go on with
	// them until their deadline.
	unknownCalls []endive.Call
	// attemptOutcomes are the outcomes of ended attempts by request.
	attemptOutcomes map[endive.RequestID][]endive.Outcome
	leaving         map[endive.ExecutorID]bool
	slotsEach       int
	wakeAt          time.Time
	dispatches      int
	drained         bool
	fatalf          func(format string, args ...any)
}

// newSimulation has one entry and n live executors of the service "quote", whose
// slots all belong to the entry.
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

// step gives one event and carries the actions out.
func (w *simulation) step(event endive.Event) {
	if ask, ok := event.(ClientRequest); ok {
		w.requests[ask.Request] = &requestRecord{request: ask}
	}
	if r, ok := event.(AttemptResult); ok {
		if f := w.inFlight[r.Attempt]; f != nil {
			w.attemptOutcomes[f.call.Request] = append(w.attemptOutcomes[f.call.Request], r.Reply.Outcome)
			if r.Reply.Outcome == endive.Unknown {
				w.unknownCalls = append(w.unknownCalls, f.call)
			}
			delete(w.inFlight, r.Attempt)
		}
	}
	for _, action := range w.machine.Step(w.clock.Now(), event) {
		w.perform(action)
	}
}

// perform carries out one action.
func (w *simulation) perform(action endive.Action) {
	switch a := action.(type) {
	case Dispatch:
		w.checkDispatch(a.Call)
	case CancelCall:
		if f := w.inFlight[a.Attempt]; f != nil {
			f.cancelled = true
		}
	case Answer:
		w.checkAnswer(a)
	case Drained:
		w.drained = true
	case endive.SetWake:
		w.wakeAt = a.At
	}
}

// checkDispatch checks a dispatch.
func (w *simulation) checkDispatch(call endive.Call) {
	w.dispatches++
	ran := w.requests[call.Request]
	busy := 1
	for _, f := range w.inFlight {
		if f.call.Executor == call.Executor {
			busy++
		}
		if f.call.Request == call.Request && ran.request.NonIdempotent {
			w.fatalf("non-idempotent %s is on %s and %s", call.Request, f.call.Executor, call.Executor)
		}
	}
	for _, c := range w.unknownCalls {
		if c.Executor == call.Executor && c.Deadline.After(w.clock.Now()) {
			busy++
		}
	}
	if busy > w.slotsEach {
		w.fatalf("%s runs %d requests", call.Executor, busy)
	}
	if w.leaving[call.Executor] {
		w.fatalf("%s is leaving and got %s", call.Executor, call.Request)
	}
	for _, end := range w.attemptOutcomes[call.Request] {
		if end != endive.NotRun && ran.request.NonIdempotent {
			w.fatalf("non-idempotent %s was %s and is tried again", call.Request, end)
		}
	}
	if ran.answer != nil {
		w.fatalf("%s was answered and is dispatched", call.Request)
	}
	w.inFlight[call.Attempt] = &attemptInFlight{call: call}
}

// checkAnswer checks an answer.
func (w *simulation) checkAnswer(a Answer) {
	r := w.requests[a.Request]
	switch {
	case r == nil:
		w.fatalf("answer to unknown request %s", a.Request)
	case r.abandoned:
		w.fatalf("answer to %s, whose caller left", a.Request)
	case r.answer != nil:
		w.fatalf("second answer to %s", a.Request)
	case a.Outcome == endive.Answered && string(a.Body) != "re "+string(r.request.Body):
		w.fatalf("%s asked %q and got %q", a.Request, r.request.Body, a.Body)
	case a.Outcome == endive.NotRun && w.mayHaveRun(a.Request):
		w.fatalf("%s may have run and is notRun", a.Request)
	case a.Outcome == endive.NotRun && a.RetryAt.IsZero():
		w.fatalf("%s is notRun without a time to come back", a.Request)
	}
	r.answer = &a
}

// mayHaveRun reports whether an attempt at the request's own id goes on or ended
// other than NotRun.
func (w *simulation) mayHaveRun(id endive.RequestID) bool {
	for _, f := range w.inFlight {
		if f.call.Request == id {
			return true
		}
	}
	for _, end := range w.attemptOutcomes[id] {
		if end != endive.NotRun {
			return true
		}
	}
	return false
}

// attemptsInFlight returns the attempts that go on, in attemptsInFlight.
func (w *simulation) attemptsInFlight() []endive.AttemptID {
	ids := make([]string, 0, len(w.inFlight))
	for id := range w.inFlight {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	attempts := make([]endive.AttemptID, 0, len(ids))
	for _, id := range ids {
		attempts = append(attempts, endive.AttemptID(id))
	}
	return attempts
}

// reply ends an attempt.
func (w *simulation) reply(id endive.AttemptID, outcome endive.Outcome, status int) {
	f := w.inFlight[id]
	reply := endive.Reply{Outcome: outcome, Status: status, Reason: "as the test wants it"}
	if outcome == endive.Answered {
		reply.Body = []byte("re " + string(f.call.Body))
	}
	w.step(AttemptResult{Attempt: id, Reply: reply})
}

// announceLeaving makes an executor announce its departure.
func (w *simulation) announceLeaving(i int) {
	w.leaving[endive.ExecutorID(w.view.Endpoints[i].ID)] = true
	w.view.Endpoints = append(endive.Endpoints{}, w.view.Endpoints...)
	w.view.Endpoints[i].State = endive.MemberLeaving
	w.step(w.view)
}

// advance moves the clock, wakes the machine when it asked for it, and ends
// attempts whose deadline has passed, a little late.
func (w *simulation) advance(d time.Duration) {
	end := w.clock.Now().Add(d)
	for {
		next, overdue := w.wakeAt, endive.AttemptID("")
		for _, id := range w.attemptsInFlight() {
			at := w.inFlight[id].call.Deadline.Add(100 * time.Millisecond)
			if next.IsZero() || at.Before(next) {
				next, overdue = at, id
			}
		}
		if next.IsZero() || next.After(end) {
			break
		}
		w.clock.Advance(max(0, next.Sub(w.clock.Now())))
		if overdue != "" {
			w.reply(overdue, endive.Unknown, 0)
			continue
		}
		w.wakeAt = time.Time{}
		w.step(endive.Wake{})
	}
	w.clock.Advance(end.Sub(w.clock.Now()))
}
