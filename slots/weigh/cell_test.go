package weigh

import (
	"container/heap"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/route"
	"endiveroute.example/endive/wire"
)

const (
	entries       = 7
	executors     = 35
	slotsEach     = 8
	meanService   = 200 * time.Millisecond
	timeout       = 2 * time.Second
	requestBytes  = 1000
	answerBytes   = 4000
	slowdown      = 3
	slowExecutors = 3
)

// locations are the zones of the entries and executors in turn: three zones in
// two regions.
var locations = []endive.Instance{
	{Region: "gogledd", Zone: "a"}, {Region: "gogledd", Zone: "b"}, {Region: "de", Zone: "c"},
}

// arrivals are the shares of the requests that arrive at each entry.
var arrivals = []float64{0.25, 0.20, 0.15, 0.15, 0.10, 0.10, 0.05}

// variant returns an entry's implementation of endive.Slots and its router.
type variant func(self endive.EntryID, incarnation endive.Incarnation) (endive.Slots, endive.Router)

// fault is the kind of an executor's failure.
type fault int

const (
	healthy fault = iota
	slow
	// failing executors reset the connection, refusing ones refuse it, and
	// answering500 ones answer with status 500, all without delay.
	failing
	refusing
	answering500
	silent
)

// entry is one simulated entry.
type entry struct {
	id       endive.EntryID
	location endive.Instance
	machine  *route.Machine
	wake     time.Time
}

// host is one simulated executor.
type host struct {
	id       endive.ExecutorID
	location endive.Instance
	fault    fault
	busy     int
	mostBusy int
}

// requestResult is the times and the outcome of one request.
type requestResult struct {
	at, dispatched, done time.Time
	outcome              endive.Outcome
	noRetryAt            bool
}

// cell simulates entries and executors on virtual time.
type cell struct {
	now                  time.Time
	events               eventHeap
	seq                  int
	random               *rand.Rand
	entries              []*entry
	hosts                []*host
	byID                 map[endive.ExecutorID]*host
	view                 endive.MembersChanged
	config               endive.Config
	requests             map[endive.RequestID]*requestResult
	cancels              map[endive.AttemptID]func()
	calls                int
	controlBytes         int
	crossRegionBytes     int
	crossRegionBodyBytes int
	// busyTime is the total time that slots were in use.
	busyTime time.Duration
	// redirects maps entries to those that get their requests instead.
	redirects map[int]int
	// lossRate is the share of messages between entries that are lost.
	lossRate float64
}

func newCell(seed int64, w variant) *cell {
	c := &cell{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), random: rand.New(rand.NewSource(seed)),
		byID: make(map[endive.ExecutorID]*host), requests: make(map[endive.RequestID]*requestResult),
		cancels: make(map[endive.AttemptID]func()),
	}
	service := endive.Service{Name: "quote", Timeout: endive.Interval(timeout)}
	service.Defaults()
	for i := range entries {
		id := endive.EntryID(fmt.Sprintf("e%d", i))
		place := locations[i%len(locations)]
		c.view.Peers = append(c.view.Peers, endive.Peer{
			ID: id, Incarnation: "1", Region: place.Region, Zone: place.Zone, State: endive.MemberLive, Ready: true,
		})
	}
	for i := range executors {
		place := locations[i%len(locations)]
		place.ID, place.Kind, place.Service = fmt.Sprintf("x%02d", i), endive.KindExecutor, "quote"
		c.view.Endpoints = append(c.view.Endpoints, endive.Endpoint{Instance: place, State: endive.MemberLive})
		h := &host{id: endive.ExecutorID(place.ID), location: place}
		c.hosts = append(c.hosts, h)
		c.byID[h.id] = h
	}
	c.config = endive.Config{Resources: map[endive.ResourceKey]endive.ConfiguredResource{
		service.Key(): {Ticket: 1, Service: &service},
	}}
	for _, p := range c.view.Peers {
		c.startEntry(p, w)
	}
	c.run(time.Second)
	return c
}

// startEntry starts an entry with the current members list.
func (c *cell) startEntry(p endive.Peer, w variant) {
	slots, router := w(p.ID, p.Incarnation)
	n := &entry{
		id: p.ID, location: endive.Instance{Region: p.Region, Zone: p.Zone},
		machine: route.New(route.DefaultSettings(p.ID, p.Incarnation), slots, router),
	}
	c.entries = append(c.entries, n)
	view := c.view
	view.Self = p
	c.step(n, endive.ConfigChanged{Config: c.config})
	c.step(n, view)
}

// schedule adds an action that runs at the given time.
func (c *cell) schedule(when time.Time, action func()) {
	c.seq++
	heap.Push(&c.events, event{at: when, seq: c.seq, action: action})
}

// run runs the events that are scheduled within the given duration.
func (c *cell) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		h := heap.Pop(&c.events).(event)
		c.now = h.at
		h.action()
	}
	c.now = end
}

// delay returns the one-way network latency between two locations.
func delay(a, b endive.Instance) time.Duration {
	switch {
	case a.Region != b.Region:
		return 30 * time.Millisecond
	case a.Zone != b.Zone:
		return 500 * time.Microsecond
	}
	return 100 * time.Microsecond
}

// step applies an event to an entry and performs the resulting actions.
func (c *cell) step(n *entry, event endive.Event) {
	for _, action := range n.machine.Step(c.now, event) {
		switch a := action.(type) {
		case route.Dispatch:
			c.dispatch(n, a.Call)
		case route.CancelCall:
			if cancel := c.cancels[a.Attempt]; cancel != nil {
				cancel()
			}
		case route.Answer:
			r := c.requests[a.Request]
			r.done, r.outcome = c.now, a.Outcome
			if a.Status >= http.StatusInternalServerError {
				r.outcome = endive.Unknown
			}
			r.noRetryAt = a.Outcome == endive.NotRun && a.RetryAt.IsZero()
		case endive.Send:
			c.send(n, a)
		case endive.SetWake:
			n.wake = a.At
			c.schedule(a.At, func() {
				if n.wake.Equal(a.At) {
					n.wake = time.Time{}
					c.step(n, endive.Wake{})
				}
			})
		}
	}
}

// send delivers a message to another entry, unless it is lost.
func (c *cell) send(from *entry, s endive.Send) {
	i := slices.IndexFunc(c.entries, func(n *entry) bool { return n.id == s.To })
	if i < 0 {
		return
	}
	to := c.entries[i]
	size := proto.Size(wire.Wrap(s.Message)) + 1
	c.controlBytes += size
	if from.location.Region != to.location.Region {
		c.crossRegionBytes += size
	}
	if c.lossRate > 0 && c.random.Float64() < c.lossRate {
		return
	}
	c.schedule(c.now.Add(delay(from.location, to.location)), func() {
		c.step(to, endive.Received{From: from.id, Incarnation: "1", Message: s.Message})
	})
}

// load sends requests at the given rate for the given duration.
func (c *cell) load(rate float64, d time.Duration) {
	end := c.now.Add(d)
	var next func()
	next = func() {
		if c.now.After(end) {
			return
		}
		c.sendRequest()
		c.schedule(c.now.Add(time.Duration(c.random.ExpFloat64()/rate*1e9)), next)
	}
	next()
	c.run(d)
}

// sendRequest sends one request to a random entry, weighted by arrivals.
func (c *cell) sendRequest() {
	u, i := c.random.Float64(), 0
	for i < entries-1 && u >= arrivals[i] {
		u -= arrivals[i]
		i++
	}
	if other, ok := c.redirects[i]; ok {
		i = other
	}
	id := endive.RequestID(fmt.Sprintf("r%d", len(c.requests)))
	c.requests[id] = &requestResult{at: c.now}
	c.step(c.entries[i], route.ClientRequest{Request: id, Service: "quote", Body: make([]byte, requestBytes)})
}

// capacity returns the number of requests per second that all executors can
// serve.
func (c *cell) capacity() float64 {
	n := 0.0
	for _, h := range c.hosts {
		switch h.fault {
		case healthy:
			n++
		case slow:
			n += 1.0 / slowdown
		}
	}
	return n * slotsEach / meanService.Seconds()
}

// mostBusy returns the maximum number of slots used at the same time on one
// executor.
func (c *cell) mostBusy() int {
	most := 0
	for _, h := range c.hosts {
		most = max(most, h.mostBusy)
	}
	return most
}
