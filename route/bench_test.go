package route

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/slots"
)

// BenchmarkDecision measures one admission, one dispatch and one answer per
// iteration while all slots are busy, for several queue lengths and numbers of
// executors.
func BenchmarkDecision(b *testing.B) {
	for _, executors := range []int{35, 350} {
		for _, waiting := range []int{0, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("executors=%d/waiting=%d", executors, waiting), func(b *testing.B) {
				benchmarkDecision(b, executors, waiting)
			})
		}
	}
}

// quoteExecutors returns a service and the members of a cluster with executors for it.
func quoteExecutors(executors int) (endive.Service, endive.MembersChanged) {
	service := endive.Service{Name: "quote", Slots: 8, Timeout: endive.MaxTimeout}
	service.Defaults()
	self := endive.Peer{ID: "e1", Region: "gogledd", Zone: "a", State: endive.MemberLive}
	view := endive.MembersChanged{Self: self, Peers: endive.Peers{self}}
	for i := range executors {
		view.Endpoints = append(view.Endpoints, endive.Endpoint{State: endive.MemberLive, Instance: endive.Instance{
			ID: fmt.Sprintf("x%04d", i), Kind: endive.KindExecutor, Region: "gogledd", Zone: "a", Service: "quote",
		}})
	}
	return service, view
}

func benchmarkDecision(b *testing.B, executors, waiting int) {
	settings := DefaultSettings("e1", "i1")
	settings.QueueLimit = waiting + 1
	m := New(settings, slots.NewShares(), LowestLatency{})
	service, view := quoteExecutors(executors)
	now := time.Unix(0, 0)
	m.Step(now, endive.ConfigChanged{Config: endive.Config{Resources: map[endive.ResourceKey]endive.ConfiguredResource{
		service.Key(): {Ticket: 1, Service: &service},
	}}})
	m.Step(now, view)
	var running []endive.AttemptID
	sent := 0
	step := func(event endive.Event) {
		for _, action := range m.Step(now, event) {
			if d, ok := action.(Dispatch); ok {
				running = append(running, d.Call.Attempt)
			}
		}
	}
	send := func() {
		sent++
		step(ClientRequest{Request: endive.RequestID(strconv.Itoa(sent)), Service: "quote"})
	}
	for range executors*8 + waiting {
		send()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		first := running[0]
		running = running[1:]
		step(AttemptResult{Attempt: first, Reply: endive.Reply{Outcome: endive.Answered, Status: http.StatusOK}})
		send()
	}
}
