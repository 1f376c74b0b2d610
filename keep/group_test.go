package keep

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// group is a set of machines and simulated executors, with the invariants that are
// checked.
type group struct {
	*fakes.Simulation
	t        fataler
	starts   int
	requests map[Tag]clientRequest
	// running is the last request sent for each key, until its row records that it was
	// not run.
	running map[string]endive.RequestID
	// executed holds the executors' responses by key, and an entry for each request
	// that ran.
	executed  map[string]string
	objects   map[string][]byte
	results   map[Tag]Result
	sentCount int
}

// clientRequest is a BeginRequest or a Lookup.
type clientRequest struct {
	key    string
	digest Digest
	// alreadyRan is set if a request with the key had run before this request
	// was made.
	alreadyRan bool
}

// fataler is the method of testing.T and rapid.T that the checks need.
type fataler interface {
	Fatalf(format string, args ...any)
}

func newGroup(t fataler, seed int64, entries int) *group {
	g := &group{
		Simulation: fakes.NewSimulation(seed), t: t,
		requests: make(map[Tag]clientRequest),
		running:  make(map[string]endive.RequestID),
		executed: make(map[string]string),
		objects:  make(map[string][]byte),
		results:  make(map[Tag]Result),
	}
	g.HandleAction = g.observe
	g.After = g.check
	for i := range entries {
		g.start(endive.EntryID(fmt.Sprintf("entry-%d", i)))
	}
	return g
}

func (g *group) start(id endive.EntryID) {
	g.starts++
	incarnation := endive.Incarnation(fmt.Sprintf("run-%d", g.starts))
	g.Start(id, incarnation, New(Settings{MaxInline: 12}, id, incarnation))
}

func (g *group) begin(n *fakes.Node, key endive.IdempotencyKey, digest Digest, timeout time.Duration) Tag {
	tag := Tag(len(g.requests) + 1)
	g.addRequest(tag, key, digest)
	n.Deliver(0, BeginRequest{
		Tag: tag, Request: requestID(tag), Service: "cut", Key: key,
		Digest: digest, Deadline: n.Now().Add(timeout),
	})
	return tag
}

func (g *group) addRequest(tag Tag, key endive.IdempotencyKey, digest Digest) {
	_, ran := g.executed[intentKey("cut", key)]
	g.requests[tag] = clientRequest{intentKey("cut", key), digest, ran}
}

func (g *group) lookup(n *fakes.Node, key endive.IdempotencyKey) Tag {
	tag := Tag(len(g.requests) + 1)
	g.addRequest(tag, key, "")
	n.Deliver(0, Lookup{Tag: tag, Service: "cut", Key: key})
	return tag
}

func requestID(tag Tag) endive.RequestID { return endive.RequestID(fmt.Sprintf("request-%d", tag)) }

// check removes requests from running that are recorded as not run.
func (g *group) check() {
	for key, request := range g.running {
		if row, ok := g.row(key); ok && row.State == stateNotRun && row.Request == request {
			delete(g.running, key)
		}
	}
}

func (g *group) row(key string) (intentRow, bool) {
	rows, _ := g.Table.Read(context.Background(), key)
	if len(rows) == 0 {
		return intentRow{}, false
	}
	row, err := decodeIntent(rows[0].Value)
	if err != nil {
		g.t.Fatalf("%s: %v", key, err)
	}
	return row, true
}

func (g *group) observe(n *fakes.Node, action endive.Action) {
	switch a := action.(type) {
	case SendRequest:
		g.runRequest(n, a)
	case Result:
		if _, ok := g.results[a.Tag]; ok {
			g.t.Fatalf("second result for tag %d", a.Tag)
		}
		g.results[a.Tag] = a
		g.checkResult(g.requests[a.Tag], a)
	case StoreObject:
		failed := g.Rand.Intn(3) == 0
		if !failed {
			g.objects[a.Name] = a.Body
		}
		n.Deliver(50*time.Millisecond, ObjectStored{Name: a.Name, Failed: failed})
	case FetchObject:
		body, ok := g.objects[a.Name]
		n.Deliver(50*time.Millisecond, ObjectFetched{Name: a.Name, Body: body, Failed: !ok || g.Rand.Intn(3) == 0})
	}
}

// runRequest runs a request on an executor, or lets it fail at random.
func (g *group) runRequest(n *fakes.Node, a SendRequest) {
	g.sentCount++
	key := g.requests[a.Tag].key
	if other, ok := g.running[key]; ok {
		g.t.Fatalf("%s: %s may run after %s", key, a.Request, other)
	}
	if !n.Now().Before(a.Deadline) {
		g.t.Fatalf("%s: %s may run after its deadline", key, a.Request)
	}
	g.running[key] = a.Request
	done := RequestDone{Request: a.Request, Outcome: endive.NotRun}
	if g.Rand.Intn(4) > 0 {
		g.executed[key] = fmt.Sprintf("answer to %s", a.Request)[:g.Rand.Intn(5)*3+1]
		g.executed[string(a.Request)] = "ran"
		done.Outcome = endive.Unknown
	}
	if done.Outcome == endive.Unknown && g.Rand.Intn(4) > 0 {
		done.Outcome, done.Status, done.Body = endive.Answered, 200, []byte(g.executed[key])
	}
	n.Deliver(time.Duration(g.Rand.Intn(2500))*time.Millisecond, done)
}

// checkResult checks a result against the requests that the executors ran.
func (g *group) checkResult(request clientRequest, a Result) {
	body, ran := g.executed[request.key]
	row, exists := g.row(request.key)
	switch {
	case a.Conflict && (!exists || row.Digest == request.digest):
		g.t.Fatalf("%s is reported as a conflict with %+v", request.key, row)
	case a.Outcome == endive.NotRun && (request.alreadyRan && !a.AttemptOnly || g.executed[string(requestID(a.Tag))] != ""):
		g.t.Fatalf("%s is reported as not run but ran", request.key)
	case a.Outcome == endive.Answered && (!ran || string(a.Body) != body):
		g.t.Fatalf("%s has the recorded response %q but ran with response %q", request.key, a.Body, body)
	case a.NotFound && request.alreadyRan:
		g.t.Fatalf("%s is reported as not found but ran", request.key)
	}
}

func TestRunsOnce(t *testing.T) {
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.Int64().Draw(t, "seed"), 4)
		g.Faults = fakes.Faults{LostResponse: 15, Unavailable: 10, Slow: 10}
		for range 50 {
			key := rapid.SampledFrom([]endive.IdempotencyKey{"a", "b", "c"}).Draw(t, "key")
			digest := rapid.SampledFrom([]Digest{"x", "x", "x", "y"}).Draw(t, "digest")
			entry := rapid.IntRange(0, 3).Draw(t, "entry")
			at := rapid.IntRange(0, 15000).Draw(t, "at")
			lookup := rapid.IntRange(0, 4).Draw(t, "lookup") == 0
			g.At(time.Duration(at)*time.Millisecond, func() {
				if lookup {
					g.lookup(g.Nodes()[entry], key)
					return
				}
				g.begin(g.Nodes()[entry], key, digest, 2*time.Second)
			})
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			kind := rapid.IntRange(0, 2).Draw(t, "fault kind")
			entry := rapid.IntRange(0, 3).Draw(t, "entry")
			at := rapid.IntRange(0, 15000).Draw(t, "fault at")
			duration := time.Duration(rapid.IntRange(100, 6000).Draw(t, "fault duration")) * time.Millisecond
			g.At(time.Duration(at)*time.Millisecond, func() { g.injectFault(kind, g.Nodes()[entry], duration) })
		}
		g.Run(60 * time.Second)
		g.checkRecovery()
		sent += g.sentCount
	})
	if sent == 0 {
		t.Fatal("no request was ever sent")
	}
}

func (g *group) injectFault(kind int, n *fakes.Node, duration time.Duration) {
	switch kind {
	case 0:
		n.Pause(duration)
	case 1:
		n.Up = false
		g.At(duration, func() {
			if !n.Up {
				g.start(n.ID)
			}
		})
	case 2:
		g.TableDown = true
		g.At(duration, func() { g.TableDown = false })
	}
}

// checkRecovery checks that each key gets an outcome once the faults have ended, even
// if the entry that ran its request has stopped.
func (g *group) checkRecovery() {
	g.Faults = fakes.Faults{}
	for _, key := range []endive.IdempotencyKey{"a", "b", "c"} {
		g.begin(g.Nodes()[0], key, "x", 10*time.Second)
		g.begin(g.Nodes()[1], key, "y", 10*time.Second)
	}
	g.Run(20 * time.Second)
	for _, key := range []endive.IdempotencyKey{"a", "b", "c"} {
		if row, _ := g.row(intentKey("cut", key)); row.State == statePending {
			g.t.Fatalf("%s: %+v is still pending after the faults", key, row)
		}
	}
	for _, n := range g.Nodes() {
		if machine := n.Machine.(*Machine); n.Up && (machine.Unrecorded() > 0 || len(machine.writes) > 0 || len(machine.objects) > 0) {
			g.t.Fatalf("%s still has %d unrecorded, %d writes, %d objects", n.ID, machine.Unrecorded(), len(machine.writes), len(machine.objects))
		}
	}
}
