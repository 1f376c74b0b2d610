package ticket

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/wire"
)

// listLag is how long the instance list shows an entry that has ended.
const listLag = 4 * time.Second

// group is a set of keepers with what must hold of them.
type group struct {
	*fakes.Simulation
	t       failer
	runs    int
	ended   map[endive.EntryID]time.Time
	config  map[*fakes.Node]endive.Config
	digests map[Tag]Digest
	tickets map[Tag]endive.Ticket
	answers map[Tag]Answer
	// inForce is the highest ticket of each resource that was said to be in
	// force.
	inForce map[endive.ResourceKey]endive.TicketNumber
	ready   int
}

// failer is the part of testing.T and rapid.T that the checks need.
type failer interface {
	Fatalf(format string, args ...any)
}

func newGroup(t failer, seed int64, entries int) *group {
	g := &group{
		Simulation: fakes.NewSimulation(seed), t: t,
		ended:   make(map[endive.EntryID]time.Time),
		config:  make(map[*fakes.Node]endive.Config),
		digests: make(map[Tag]Digest),
		tickets: make(map[Tag]endive.Ticket),
		answers: make(map[Tag]Answer),
		inForce: make(map[endive.ResourceKey]endive.TicketNumber),
	}
	g.HandleAction = g.observe
	g.After = g.check
	for i := range entries {
		g.start(entryID(i))
	}
	g.beat()
	return g
}

func entryID(i int) endive.EntryID { return endive.EntryID(fmt.Sprintf("entry-%d", i)) }

// start runs an entry, anew where it ran before.
func (g *group) start(id endive.EntryID) {
	g.runs++
	incarnation := endive.Incarnation(fmt.Sprintf("run-%d", g.runs))
	delete(g.ended, id)
	g.Start(id, incarnation, New(Settings{}, id, incarnation))
}

func (g *group) node(i int) *fakes.Node { return g.Nodes()[i%len(g.Nodes())] }

func (g *group) end(n *fakes.Node) {
	n.Up = false
	g.ended[n.ID] = g.Now()
}

// beat gives each entry a view of the others and their heartbeats, every half
// second.
func (g *group) beat() {
	for _, n := range g.Nodes() {
		if n.Up && !n.Paused() {
			n.Deliver(0, g.view(n))
		}
	}
	g.At(500*time.Millisecond, g.beat)
}

func (g *group) view(n *fakes.Node) endive.MembersChanged {
	view := endive.MembersChanged{Self: endive.Peer{ID: n.ID}, Endpoints: endive.Endpoints{{}}}
	for _, o := range g.Nodes() {
		heard := o.Up && !o.Paused() && o.Partitioned == n.Partitioned
		at, ended := g.ended[o.ID]
		listed := !ended || g.Now().Sub(at) < listLag
		state := endive.MemberGone
		switch {
		case heard:
			state = endive.MemberLive
		case listed:
			state = endive.MemberSuspect
		}
		machine := o.Machine.(*Keeper)
		view.Peers = append(view.Peers, endive.Peer{
			ID: o.ID, Incarnation: o.Incarnation, State: state, Ready: heard && machine.Ready(o.Now()),
		})
		if heard && o != n && g.Rand.Intn(100) >= g.Faults.LostMessage {
			beat := &wire.Heartbeat{ConfigRevision: uint64(g.config[o].Revision)}
			n.Deliver(time.Duration(g.Rand.Intn(700))*time.Millisecond,
				endive.Received{From: o.ID, Incarnation: o.Incarnation, Message: beat})
		}
	}
	return view
}

// observe checks what a machine says.
func (g *group) observe(n *fakes.Node, action endive.Action) {
	switch a := action.(type) {
	case endive.PublishConfig:
		old := g.config[n]
		if a.Config.Revision < old.Revision {
			g.t.Fatalf("%s: revision %d after %d", n.ID, a.Config.Revision, old.Revision)
		}
		for key, c := range old.Resources {
			if a.Config.Resources[key].Ticket < c.Ticket {
				g.t.Fatalf("%s: %s went from ticket %d to %d", n.ID, key, c.Ticket, a.Config.Resources[key].Ticket)
			}
		}
		g.config[n] = a.Config
	case Answer:
		if _, ok := g.answers[a.Tag]; ok {
			g.t.Fatalf("second answer to %d", a.Tag)
		}
		g.answers[a.Tag] = a
		g.answered(a)
	}
}

// answered checks an answer against the table.
func (g *group) answered(a Answer) {
	rows, _ := g.Table.Read(context.Background(), ticketKey(a.Number))
	written := len(rows) == 1 && decodeTicket(rows[0]).Digest == g.digests[a.Tag]
	if len(rows) == 1 && rows[0].Version != 1 {
		g.t.Fatalf("ticket %d was written %d times", a.Number, rows[0].Version)
	}
	if said := a.State == StateInForce || a.State == StatePending && !a.Unsettled; said && !written {
		g.t.Fatalf("ticket %d is %s and not in the table", a.Number, a.State)
	}
	if (a.State == StateConflict || a.State == StateInvalid) && written {
		g.t.Fatalf("ticket %d is %s and in the table", a.Number, a.State)
	}
	if a.State != StateInForce {
		return
	}
	for _, r := range configuredBy(g.tickets[a.Tag]) {
		g.inForce[r.key] = max(g.inForce[r.key], a.Number)
	}
	g.check()
}

// check looks whether any entry that may answer callers now is behind what was
// said to be in force.
func (g *group) check() {
	for _, n := range g.Nodes() {
		if !n.Up || n.Paused() || !n.Machine.(*Keeper).Ready(n.Now()) {
			continue
		}
		g.ready++
		for key, number := range g.inForce {
			if got := g.config[n].Resources[key].Ticket; got < number {
				g.t.Fatalf("%s answers callers with ticket %d of %s after %d was in force", n.ID, got, key, number)
			}
		}
	}
}

// apply gives an operator's ticket to an entry.
func (g *group) apply(n *fakes.Node, ticket endive.Ticket, lasts time.Duration) Tag {
	tag := Tag(len(g.tickets) + 1)
	g.tickets[tag] = ticket
	g.digests[tag] = digestOf(ticket)
	n.Deliver(0, Apply{Tag: tag, Ticket: ticket, Deadline: n.Now().Add(lasts)})
	return tag
}

func drawTicket(t *rapid.T) endive.Ticket {
	ticket := endive.Ticket{Number: endive.TicketNumber(rapid.IntRange(1, 12).Draw(t, "number"))}
	comment := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "comment")
	ticket.Comment = comment
	touched := rapid.IntRange(1, 7).Draw(t, "touched")
	for i := range 3 {
		if touched&(1<<i) != 0 {
			ticket.Teams = append(ticket.Teams, endive.Team{Name: endive.TeamName(fmt.Sprintf("team-%d", i))})
		}
	}
	return ticket
}

// disturb does one thing that goes wrong in the field, and mends it later.
func (g *group) disturb(kind, entry int, lasts time.Duration) {
	n := g.node(entry)
	switch kind {
	case 0:
		n.Pause(lasts)
		if lasts > 6*time.Second {
			g.ended[n.ID] = g.Now()
			g.At(lasts+listLag, func() {
				if n.Up {
					delete(g.ended, n.ID)
				}
			})
		}
	case 1:
		g.end(n)
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
	case 4:
		g.start(entryID(len(g.Nodes())))
	}
}

func TestTicketsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.Int64().Draw(t, "seed"), 4)
		g.Faults = fakes.Faults{LostMessage: 10, DuplicatedMessage: 10, LostResponse: 10, Unavailable: 5, Slow: 3}
		for range 20 {
			ticket := drawTicket(t)
			entry := rapid.IntRange(0, 3).Draw(t, "operator's entry")
			at := rapid.IntRange(500, 25000).Draw(t, "at")
			g.At(time.Duration(at)*time.Millisecond, func() { g.apply(g.node(entry), ticket, 10*time.Second) })
		}
		for range rapid.IntRange(0, 5).Draw(t, "disturbances") {
			kind := rapid.IntRange(0, 4).Draw(t, "kind")
			entry := rapid.IntRange(0, 3).Draw(t, "disturbed entry")
			at := rapid.IntRange(0, 20000).Draw(t, "from")
			lasts := rapid.IntRange(100, 15000).Draw(t, "lasts")
			g.At(time.Duration(at)*time.Millisecond, func() {
				g.disturb(kind, entry, time.Duration(lasts)*time.Millisecond)
			})
		}
		g.Run(40 * time.Second)
		g.settles()
	})
}

// settles checks that a new ticket comes into force everywhere once nothing
// fails any more.
func (g *group) settles() {
	g.Faults = fakes.Faults{}
	g.Run(30 * time.Second)
	tag := g.apply(g.node(0), endive.Ticket{Number: 100, Teams: endive.Teams{{Name: "team-0"}}}, 4*time.Second)
	g.Run(5 * time.Second)
	if got := g.answers[tag]; got.State != StateInForce {
		g.t.Fatalf("the last ticket is %+v", got)
	}
	for _, n := range g.Nodes() {
		if n.Up && !n.Machine.(*Keeper).Ready(n.Now()) {
			g.t.Fatalf("%s isn't ready", n.ID)
		}
	}
}
