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

// group is a set of keepers with what must hold of them, executors included.
type group struct {
	*fakes.Simulation
	t    failer
	runs int
	asks map[Tag]ask
	// open is the request under a key that got a Proceed, until it is recorded
	// that it was not run.
	open map[string]endive.RequestID
	// executed are the answers of the executors by key, and the requests that
	// ran.
	executed map[string]string
	objects  map[string][]byte
	answers  map[Tag]Answer
	proceeds int
}

// ask is a Begin or a Lookup.
type ask struct {
	key    string
	digest Digest
	// ran says that the key had run before the question.
	ran bool
}

// failer is the part of testing.T and rapid.T that the checks need.
type failer interface {
	Fatalf(format string, args ...any)
}

func newGroup(t failer, seed int64, entries int) *group {
	g := &group{
		Simulation: fakes.NewSimulation(seed), t: t,
		asks:     make(map[Tag]ask),
		open:     make(map[string]endive.RequestID),
		executed: make(map[string]string),
		objects:  make(map[string][]byte),
		answers:  make(map[Tag]Answer),
	}
	g.HandleAction = g.observe
	g.After = g.check
	for i := range entries {
		g.start(endive.EntryID(fmt.Sprintf("entry-%d", i)))
	}
	return g
}

func (g *group) start(id endive.EntryID) {
	g.runs++
	incarnation := endive.Incarnation(fmt.Sprintf("run-%d", g.runs))
	g.Start(id, incarnation, New(Settings{MaxInline: 12}, id, incarnation))
}

func (g *group) begin(n *fakes.Node, key endive.IdempotencyKey, digest Digest, lasts time.Duration) Tag {
	tag := Tag(len(g.asks) + 1)
	g.ask(tag, key, digest)
	n.Deliver(0, Begin{
		Tag: tag, Request: requestID(tag), Service: "cut", Key: key,
		Digest: digest, Deadline: n.Now().Add(lasts),
	})
	return tag
}

func (g *group) ask(tag Tag, key endive.IdempotencyKey, digest Digest) {
	_, ran := g.executed[intentKey("cut", key)]
	g.asks[tag] = ask{intentKey("cut", key), digest, ran}
}

func (g *group) lookup(n *fakes.Node, key endive.IdempotencyKey) Tag {
	tag := Tag(len(g.asks) + 1)
	g.ask(tag, key, "")
	n.Deliver(0, Lookup{Tag: tag, Service: "cut", Key: key})
	return tag
}

func requestID(tag Tag) endive.RequestID { return endive.RequestID(fmt.Sprintf("request-%d", tag)) }

// check notes which requests are recorded as not run.
func (g *group) check() {
	for key, request := range g.open {
		if row, ok := g.row(key); ok && row.State == stateNotRun && row.Request == request {
			delete(g.open, key)
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
	case Proceed:
		g.proceed(n, a)
	case Answer:
		if _, ok := g.answers[a.Tag]; ok {
			g.t.Fatalf("second answer to %d", a.Tag)
		}
		g.answers[a.Tag] = a
		g.answered(g.asks[a.Tag], a)
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

// proceed runs a request, or not.
func (g *group) proceed(n *fakes.Node, a Proceed) {
	g.proceeds++
	key := g.asks[a.Tag].key
	if other, ok := g.open[key]; ok {
		g.t.Fatalf("%s: %s may run after %s", key, a.Request, other)
	}
	if !n.Now().Before(a.Deadline) {
		g.t.Fatalf("%s: %s may run after its deadline", key, a.Request)
	}
	g.open[key] = a.Request
	done := Done{Request: a.Request, Outcome: endive.NotRun}
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

// answered checks an answer against what the executors did.
func (g *group) answered(asked ask, a Answer) {
	body, ran := g.executed[asked.key]
	row, exists := g.row(asked.key)
	switch {
	case a.Conflict && (!exists || row.Digest == asked.digest):
		g.t.Fatalf("%s is called a conflict with %+v", asked.key, row)
	case a.Outcome == endive.NotRun && (asked.ran && !a.Attempt || g.executed[string(requestID(a.Tag))] != ""):
		g.t.Fatalf("%s is called not run and ran", asked.key)
	case a.Outcome == endive.Answered && (!ran || string(a.Body) != body):
		g.t.Fatalf("%s is answered %q and ran as %q", asked.key, a.Body, body)
	case a.Missing && asked.ran:
		g.t.Fatalf("%s is called missing and ran", asked.key)
	}
}

func TestRunsOnce(t *testing.T) {
	proceeds := 0
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
		for range rapid.IntRange(0, 6).Draw(t, "disturbances") {
			kind := rapid.IntRange(0, 2).Draw(t, "kind")
			entry := rapid.IntRange(0, 3).Draw(t, "entry")
			at := rapid.IntRange(0, 15000).Draw(t, "from")
			lasts := time.Duration(rapid.IntRange(100, 6000).Draw(t, "lasts")) * time.Millisecond
			g.At(time.Duration(at)*time.Millisecond, func() { g.disturb(kind, g.Nodes()[entry], lasts) })
		}
		g.Run(60 * time.Second)
		g.settles()
		proceeds += g.proceeds
	})
	if proceeds == 0 {
		t.Fatal("nothing ever ran")
	}
}

func (g *group) disturb(kind int, n *fakes.Node, lasts time.Duration) {
	switch kind {
	case 0:
		n.Pause(lasts)
	case 1:
		n.Up = false
		g.At(lasts, func() {
			if !n.Up {
				g.start(n.ID)
			}
		})
	case 2:
		g.TableDown = true
		g.At(lasts, func() { g.TableDown = false })
	}
}

// settles checks that each key comes to an outcome once nothing fails any more,
// also where the entry that ran it is dead.
func (g *group) settles() {
	g.Faults = fakes.Faults{}
	for _, key := range []endive.IdempotencyKey{"a", "b", "c"} {
		g.begin(g.Nodes()[0], key, "x", 10*time.Second)
		g.begin(g.Nodes()[1], key, "y", 10*time.Second)
	}
	g.Run(20 * time.Second)
	for _, key := range []endive.IdempotencyKey{"a", "b", "c"} {
		if row, _ := g.row(intentKey("cut", key)); row.State == statePending {
			g.t.Fatalf("%s: %+v is left", key, row)
		}
	}
	for _, n := range g.Nodes() {
		if k := n.Machine.(*Keeper); n.Up && (k.Unrecorded() > 0 || len(k.writes) > 0 || len(k.objects) > 0) {
			g.t.Fatalf("%s still has %d unrecorded, %d writes, %d objects", n.ID, k.Unrecorded(), len(k.writes), len(k.objects))
		}
	}
}
