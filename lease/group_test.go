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

// group simulates several entries and checks the invariants of their leases.
type group struct {
	*fakes.Simulation
	t        fataler
	settings Settings
	runs     int
	// leases are the leases published to the state machines of the slices.
	leases map[*fakes.Node]map[endive.SliceID]endive.LeaseChanged
	// epochs are the incarnations that held each slice and epoch.
	epochs map[string]endive.Incarnation
	// unresponsive are nodes whose state machines never confirm that they have stopped.
	unresponsive map[*fakes.Node]bool
	handedOver   map[*fakes.Node]HandedOver
	acquisitions int
}

// fataler is implemented by testing.T, testing.B and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

var sliceIDs = []endive.SliceID{"cut.de", "quote.de", "quote.gogledd"}

func newGroup(t fataler, seed int64, entries int) *group {
	return newGroupWith(t, seed, entries, Settings{})
}

func newGroupWith(t fataler, seed int64, entries int, settings Settings) *group {
	g := &group{
		Simulation: fakes.NewSimulation(seed), t: t, settings: settings,
		leases:       make(map[*fakes.Node]map[endive.SliceID]endive.LeaseChanged),
		epochs:       make(map[string]endive.Incarnation),
		unresponsive: make(map[*fakes.Node]bool),
		handedOver:   make(map[*fakes.Node]HandedOver),
	}
	g.HandleAction = g.observe
	g.After = g.check
	for i := range entries {
		g.start(endive.EntryID(fmt.Sprintf("entry-%d", i)))
	}
	g.postMembers()
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

// postMembers posts the current members to each entry every half second.
func (g *group) postMembers() {
	for _, n := range g.Nodes() {
		n.Deliver(0, g.view(n))
	}
	g.At(500*time.Millisecond, g.postMembers)
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

// observe records the published leases and checks that no epoch has two holders.
func (g *group) observe(n *fakes.Node, action endive.Action) {
	switch a := action.(type) {
	case endive.PublishLease:
		id := a.Lease.Slice.ID
		if a.Lease.Held && !g.leases[n][id].Held {
			g.acquisitions++
		}
		g.leases[n][id] = a.Lease
		if !a.Lease.Held {
			if !g.unresponsive[n] {
				n.Deliver(time.Duration(g.Rand.Intn(300))*time.Millisecond, Released{Slice: id})
			}
			return
		}
		epoch := fmt.Sprintf("%s %d", id, a.Lease.Epoch)
		if other, ok := g.epochs[epoch]; ok && other != n.Incarnation {
			g.t.Fatalf("epoch %s is held by %s and by %s", epoch, other, n.Incarnation)
		}
		g.epochs[epoch] = n.Incarnation
	case HandedOver:
		g.handedOver[n] = a
	}
}

// holders returns the entries whose lease of a slice is valid by their own clocks.
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

func (g *group) injectFault(kind, entry int, duration time.Duration) {
	n := g.Nodes()[entry]
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
		n.Partitioned = true
		g.At(duration, func() { n.Partitioned = false })
	case 3:
		g.TableDown = true
		g.At(duration, func() { g.TableDown = false })
	case 4, 5:
		g.unresponsive[n] = kind == 5
		n.Deliver(0, HandOver{Deadline: n.Now().Add(10 * time.Second)})
		g.At(12*time.Second, func() { n.Up = false })
		g.At(13*time.Second, func() { g.start(n.ID) })
	}
}

// TestOneHolder checks that no slice has two holders at a time while entries pause, restart,
// lose connections or stop, and that each slice has a holder afterwards.
func TestOneHolder(t *testing.T) {
	acquisitions := 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.Int64().Draw(t, "seed"), 4)
		g.Faults = fakes.Faults{LostMessage: 10, DuplicatedMessage: 10, LostResponse: 15, Unavailable: 10, Slow: 10}
		for range rapid.IntRange(0, 12).Draw(t, "disturbances") {
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			entry := rapid.IntRange(0, 3).Draw(t, "entry")
			at := rapid.IntRange(0, 60000).Draw(t, "from")
			lasts := rapid.IntRange(100, 15000).Draw(t, "lasts")
			g.At(time.Duration(at)*time.Millisecond, func() {
				g.injectFault(kind, entry, time.Duration(lasts)*time.Millisecond)
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
		acquisitions += g.acquisitions
	})
	if acquisitions == 0 {
		t.Fatal("no entry acquired a slice")
	}
}

// TestHandOver checks that slices change holders in a planned stop without waiting for a lease
// to expire.
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
		is.Equal(g.handedOver[n], HandedOver{}) // no slice remains
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

// TestLastEntryReleasesSlices checks that the last entry stops without waiting for a successor,
// and that the next entry acquires the slices without waiting for the lease to expire.
func TestLastEntryReleasesSlices(t *testing.T) {
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
