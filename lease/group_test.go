package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// group is a set of keepers with what must hold of them.
type group struct {
	*fakes.Simulation
	t        failer
	settings Settings
	runs     int
	// leases is what the holder machines were told.
	leases map[*fakes.Node]map[endive.SliceID]endive.LeaseChanged
	// epochs are the entries' runs that held each epoch.
	epochs map[string]endive.Incarnation
	// deaf are nodes whose holder machines never say that they have stopped.
	deaf       map[*fakes.Node]bool
	handedOver map[*fakes.Node]HandedOver
	takes      int
}

// failer is the part of testing.T and rapid.T that the checks need.
type failer interface {
	Fatalf(format string, args ...any)
}

var sliceIDs = []endive.SliceID{"cut.de", "quote.de", "quote.gogledd"}

func newGroup(t failer, seed int64, entries int) *group {
	return newGroupWith(t, seed, entries, Settings{})
}

func newGroupWith(t failer, seed int64, entries int, settings Settings) *group {
	g := &group{
		Simulation: fakes.NewSimulation(seed), t: t, settings: settings,
		leases:     make(map[*fakes.Node]map[endive.SliceID]endive.LeaseChanged),
		epochs:     make(map[string]endive.Incarnation),
		deaf:       make(map[*fakes.Node]bool),
		handedOver: make(map[*fakes.Node]HandedOver),
	}
	g.HandleAction = g.observe
	g.After = g.check
	for i := range entries {
		g.start(endive.EntryID(fmt.Sprintf("entry-%d", i)))
	}
	g.beat()
	return g
}

func (g *group) start(id endive.EntryID) *fakes.Node {
	g.runs++
	incarnation := endive.Incarnation(fmt.Sprintf("run-%d", g.runs))
	n := g.Start(id, incarnation, New(g.settings, id, incarnation))
	g.leases[n] = make(map[endive.SliceID]endive.LeaseChanged)
	config := endive.Config{Resources: map[endive.ResourceKey]endive.ConfiguredResource{
		"pools/cut":   {Pool: &endive.Pool{Name: "cut"}},
		"pools/quote": {Pool: &endive.Pool{Name: "quote"}},
	}}
	n.Deliver(0, endive.ConfigChanged{Config: config})
	return n
}

// beat gives each entry a view of the others every half second.
func (g *group) beat() {
	for _, n := range g.Nodes() {
		n.Deliver(0, g.view(n))
	}
	g.At(500*time.Millisecond, g.beat)
}

func (g *group) view(n *fakes.Node) endive.MembersChanged {
	worker := func(pool endive.PoolName, region endive.Region) endive.Endpoint {
		return endive.Endpoint{Instance: endive.Instance{Kind: endive.KindWorker, Pool: pool, Region: region}}
	}
	view := endive.MembersChanged{Endpoints: endive.Endpoints{
		worker("cut", "de"), worker("quote", "de"), worker("quote", "gogledd"),
	}}
	for i, o := range g.Nodes() {
		_, stopping := g.handedOver[o]
		state, region := endive.MemberSuspect, endive.Region("gogledd")
		if o.Up && !o.Paused() && o.Partitioned == n.Partitioned && !stopping {
			state = endive.MemberLive
		}
		if i%2 == 1 {
			region = "de"
		}
		view.Peers = append(view.Peers, endive.Peer{
			ID: o.ID, Incarnation: o.Incarnation, Region: region, State: state, Ready: true,
		})
	}
	return view
}

// observe keeps the leases as the holder machines do, and checks that no epoch
// has two holders.
func (g *group) observe(n *fakes.Node, action endive.Action) {
	switch a := action.(type) {
	case endive.PublishLease:
		id := a.Lease.Slice.ID
		if a.Lease.Held && !g.leases[n][id].Held {
			g.takes++
		}
		g.leases[n][id] = a.Lease
		if !a.Lease.Held {
			if !g.deaf[n] {
				n.Deliver(time.Duration(g.Rand.Intn(300))*time.Millisecond, Released{Slice: id})
			}
			return
		}
		epoch := fmt.Sprintf("%s %d", id, a.Lease.Epoch)
		if other, ok := g.epochs[epoch]; ok && other != n.Incarnation {
			g.t.Fatalf("%s: epoch of %s and of %s", epoch, other, n.Incarnation)
		}
		g.epochs[epoch] = n.Incarnation
	case HandedOver:
		g.handedOver[n] = a
	}
}

// holders returns the nodes that may act on a slice now, by their own clocks.
func (g *group) holders(id endive.SliceID) []endive.EntryID {
	var ids []endive.EntryID
	for _, n := range g.Nodes() {
		l := g.leases[n][id]
		if n.Up && !n.Paused() && l.Held && n.Now().Before(l.ExpiresAt) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

func (g *group) check() {
	for _, id := range sliceIDs {
		if holders := g.holders(id); len(holders) > 1 {
			g.t.Fatalf("%s is held by %v", id, holders)
		}
	}
}

func (g *group) disturb(kind, entry int, lasts time.Duration) {
	n := g.Nodes()[entry]
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
		n.Partitioned = true
		g.At(lasts, func() { n.Partitioned = false })
	case 3:
		g.TableDown = true
		g.At(lasts, func() { g.TableDown = false })
	case 4, 5:
		g.deaf[n] = kind == 5
		n.Deliver(0, HandOver{Deadline: n.Now().Add(10 * time.Second)})
		g.At(12*time.Second, func() { n.Up = false })
		g.At(13*time.Second, func() { g.start(n.ID) })
	}
}

func TestOneHolder(t *testing.T) {
	takes := 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.Int64().Draw(t, "seed"), 4)
		g.Faults = fakes.Faults{LostMessage: 10, DuplicatedMessage: 10, LostResponse: 15, Unavailable: 10, Slow: 10}
		for range rapid.IntRange(0, 12).Draw(t, "disturbances") {
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			entry := rapid.IntRange(0, 3).Draw(t, "entry")
			at := rapid.IntRange(0, 60000).Draw(t, "from")
			lasts := rapid.IntRange(100, 15000).Draw(t, "lasts")
			g.At(time.Duration(at)*time.Millisecond, func() {
				g.disturb(kind, entry, time.Duration(lasts)*time.Millisecond)
			})
		}
		g.Run(90 * time.Second)
		g.Faults = fakes.Faults{}
		g.Run(40 * time.Second)
		for _, id := range sliceIDs {
			if len(g.holders(id)) != 1 {
				t.Fatalf("%s is held by %v", id, g.holders(id))
			}
		}
		takes += g.takes
	})
	if takes == 0 {
		t.Fatal("no slice was ever taken")
	}
}

// TestHandOver checks that a planned stop costs no waiting for a lease.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 3)
	g.Run(10 * time.Second)
	for _, id := range sliceIDs {
		n := g.node(g.holders(id)[0])
		if _, stopping := g.handedOver[n]; stopping {
			continue
		}
		n.Deliver(0, HandOver{Deadline: n.Now().Add(5 * time.Second)})
		g.Run(time.Second)
		is.Equal(g.handedOver[n], HandedOver{}) // nothing is left
		for _, id := range sliceIDs {
			is.Equal(len(g.holders(id)), 1)
			is.True(g.holders(id)[0] != n.ID)
		}
		break
	}
	for _, id := range sliceIDs {
		l := g.leases[g.node(g.holders(id)[0])][id]
		is.True(l.Epoch == 1 || l.HandedOver)
	}
}

// TestLastEntryStops checks that the last entry doesn't wait for a successor, and
// that the next one doesn't wait for its lease.
func TestLastEntryStops(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 1)
	g.Run(10 * time.Second)
	n := g.Nodes()[0]
	is.Equal(len(g.holders(sliceIDs[0])), 1)
	n.Deliver(0, HandOver{Deadline: n.Now().Add(30 * time.Second)})
	g.Run(time.Second)
	_, stopped := g.handedOver[n]
	is.True(stopped) // long before the deadline
	n.Up = false
	next := g.start("entry-9")
	g.Run(time.Duration(DefaultStagger + 2*DefaultPoll)) // less than a lease
	for _, id := range sliceIDs {
		is.Equal(g.holders(id), []endive.EntryID{"entry-9"})
		is.True(g.leases[next][id].HandedOver)
	}
}

func (g *group) node(id endive.EntryID) *fakes.Node {
	for _, n := range g.Nodes() {
		if n.ID == id {
			return n
		}
	}
	return nil
}
