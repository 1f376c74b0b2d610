package route

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/slots"
)

// flight is an attempt that the test's executors hold.
type flight struct {
	call      endive.Call
	cancelled bool
}

// record is what the test knows of a request.
type record struct {
	ask       Ask
	answer    *Answer
	abandoned bool
}

// world drives one Machine and checks the promises at each step.
type world struct {
	clock    *fakes.Clock
	machine  *Machine
	view     endive.MembersChanged
	config   endive.Config
	requests map[endive.RequestID]*record
	flights  map[endive.AttemptID]*flight
	// lingering are attempts whose end is unknown: the executor may go on with
	// them until their deadline.
	lingering []endive.Call
	// ends are the outcomes of ended attempts by request.
	ends    map[endive.RequestID][]endive.Outcome
	leaving map[endive.ExecutorID]bool
	share   int
	wake    time.Time
	calls   int
	drained bool
	fatalf  func(format string, args ...any)
}

// newWorld has one entry and n live executors of the service "quote", whose
// slots all belong to the entry.
func newWorld(n int, service endive.Service, fatalf func(string, ...any)) *world {
	service.Name = "quote"
	service.Defaults()
	self := endive.Peer{ID: "e1", Region: "gogledd", Zone: "a", State: endive.MemberLive}
	w := &world{
		clock: fakes.NewClock(), requests: make(map[endive.RequestID]*record),
		flights: make(map[endive.AttemptID]*flight), ends: make(map[endive.RequestID][]endive.Outcome),
		leaving: make(map[endive.ExecutorID]bool), share: service.Slots, fatalf: fatalf,
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
	w.machine = New(settings, slots.NewShares(), Nearest{})
	w.step(endive.ConfigChanged{Config: w.config})
	w.step(w.view)
	return w
}

// step gives one event and carries the actions out.
func (w *world) step(event endive.Event) {
	if ask, ok := event.(Ask); ok {
		w.requests[ask.Request] = &record{ask: ask}
	}
	if r, ok := event.(Replied); ok {
		if f := w.flights[r.Attempt]; f != nil {
			w.ends[f.call.Request] = append(w.ends[f.call.Request], r.Reply.Outcome)
			if r.Reply.Outcome == endive.Unknown {
				w.lingering = append(w.lingering, f.call)
			}
			delete(w.flights, r.Attempt)
		}
	}
	for _, action := range w.machine.Step(w.clock.Now(), event) {
		w.act(action)
	}
}

// act carries out one action.
func (w *world) act(action endive.Action) {
	switch a := action.(type) {
	case Dispatch:
		w.dispatched(a.Call)
	case CancelCall:
		if f := w.flights[a.Attempt]; f != nil {
			f.cancelled = true
		}
	case Answer:
		w.answered(a)
	case Drained:
		w.drained = true
	case endive.SetWake:
		w.wake = a.At
	}
}

// dispatched checks a dispatch.
func (w *world) dispatched(call endive.Call) {
	w.calls++
	ran := w.requests[call.Request]
	busy := 1
	for _, f := range w.flights {
		if f.call.Executor == call.Executor {
			busy++
		}
		if f.call.Request == call.Request && ran.ask.NonIdempotent {
			w.fatalf("non-idempotent %s is on %s and %s", call.Request, f.call.Executor, call.Executor)
		}
	}
	for _, c := range w.lingering {
		if c.Executor == call.Executor && c.Deadline.After(w.clock.Now()) {
			busy++
		}
	}
	if busy > w.share {
		w.fatalf("%s runs %d requests", call.Executor, busy)
	}
	if w.leaving[call.Executor] {
		w.fatalf("%s is leaving and got %s", call.Executor, call.Request)
	}
	for _, end := range w.ends[call.Request] {
		if end != endive.NotRun && ran.ask.NonIdempotent {
			w.fatalf("non-idempotent %s was %s and is tried again", call.Request, end)
		}
	}
	if ran.answer != nil {
		w.fatalf("%s was answered and is dispatched", call.Request)
	}
	w.flights[call.Attempt] = &flight{call: call}
}

// answered checks an answer.
func (w *world) answered(a Answer) {
	r := w.requests[a.Request]
	switch {
	case r == nil:
		w.fatalf("answer to unknown request %s", a.Request)
	case r.abandoned:
		w.fatalf("answer to %s, whose caller left", a.Request)
	case r.answer != nil:
		w.fatalf("second answer to %s", a.Request)
	case a.Outcome == endive.Answered && string(a.Body) != "re "+string(r.ask.Body):
		w.fatalf("%s asked %q and got %q", a.Request, r.ask.Body, a.Body)
	case a.Outcome == endive.NotRun && w.mayHaveRun(a.Request):
		w.fatalf("%s may have run and is notRun", a.Request)
	case a.Outcome == endive.NotRun && a.RetryAt.IsZero():
		w.fatalf("%s is notRun without a time to come back", a.Request)
	}
	r.answer = &a
}

// mayHaveRun reports whether an attempt at the request's own id goes on or ended
// other than NotRun.
func (w *world) mayHaveRun(id endive.RequestID) bool {
	for _, f := range w.flights {
		if f.call.Request == id {
			return true
		}
	}
	for _, end := range w.ends[id] {
		if end != endive.NotRun {
			return true
		}
	}
	return false
}

// order returns the attempts that go on, in order.
func (w *world) order() []endive.AttemptID {
	ids := make([]string, 0, len(w.flights))
	for id := range w.flights {
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
func (w *world) reply(id endive.AttemptID, outcome endive.Outcome, status int) {
	f := w.flights[id]
	reply := endive.Reply{Outcome: outcome, Status: status, Reason: "as the test wants it"}
	if outcome == endive.Answered {
		reply.Body = []byte("re " + string(f.call.Body))
	}
	w.step(Replied{Attempt: id, Reply: reply})
}

// leave makes an executor announce its departure.
func (w *world) leave(i int) {
	w.leaving[endive.ExecutorID(w.view.Endpoints[i].ID)] = true
	w.view.Endpoints = append(endive.Endpoints{}, w.view.Endpoints...)
	w.view.Endpoints[i].State = endive.MemberLeaving
	w.step(w.view)
}

// advance moves the clock, wakes the machine when it asked for it, and ends
// attempts whose deadline has passed, a little late.
func (w *world) advance(d time.Duration) {
	end := w.clock.Now().Add(d)
	for {
		next, overdue := w.wake, endive.AttemptID("")
		for _, id := range w.order() {
			at := w.flights[id].call.Deadline.Add(100 * time.Millisecond)
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
		w.wake = time.Time{}
		w.step(endive.Wake{})
	}
	w.clock.Advance(end.Sub(w.clock.Now()))
}
