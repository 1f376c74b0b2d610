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

// instanceListLag is how long the instance list still contains an entry that has
// stopped.
const instanceListLag = 4 * time.Second

// group is a set of machines with the invariants that are checked on them.
type group struct {
	*fakes.Simulation
	t         fataler
	starts    int
	stoppedAt map[endive.EntryID]time.Time
	config    map[*fakes.Node]endive.Config
	digests   map[Tag]Digest
	tickets   map[Tag]endive.Ticket
	results   map[Tag]ApplyResult
	// inForce is the highest ticket reported as in force, for each resource.
	inForce     map[endive.ResourceKey]endive.TicketNumber
	readyChecks int
}

// fataler is the method of testing.T and rapid.T that the checks need.
type fataler interface {
	Fatalf(format string, args ...any)
}

func newGroup(t fataler, seed int64, entries int) *group {
	g := &group{
		Simulation: fakes.NewSimulation(seed), t: t,
		stoppedAt: make(map[endive.EntryID]time.Time),
		config:    make(map[*fakes.Node]endive.Config),
		digests:   make(map[Tag]Digest),
		tickets:   make(map[Tag]endive.Ticket),
		results:   make(map[Tag]ApplyResult),
		inForce:   make(map[endive.ResourceKey]endive.TicketNumber),
	}
	g.HandleAction = g.observe
	g.After = g.checkReadyEntries
	for i := range entries {
		g.start(entryID(i))
	}
	g.sendHeartbeats()
	return g
}

func entryID(i int) endive.EntryID { return endive.EntryID(fmt.Sprintf("entry-%d", i)) }

// start starts an entry, or restarts it under a new incarnation.
func (g *group) start(id endive.EntryID) {
	g.starts++
	incarnation := endive.Incarnation(fmt.Sprintf("run-%d", g.starts))
	delete(g.stoppedAt, id)
	g.Start(id, incarnation, New(Settings{}, id, incarnation))
}

func (g *group) node(i int) *fakes.Node { return g.Nodes()[i%len(g.Nodes())] }

func (g *group) stop(n *fakes.Node) {
	n.Up = false
	g.stoppedAt[n.ID] = g.Now()
}

// sendHeartbeats sends each entry a view of the members and the heartbeats of the
// others every half second.
func (g *group) sendHeartbeats() {
	for _, n := range g.Nodes() {
		if n.Up && !n.Paused() {
			n.Deliver(0, g.view(n))
		}
	}
	g.At(500*time.Millisecond, g.sendHeartbeats)
}

func (g *group) view(n *fakes.Node) endive.MembersChanged {
	view := endive.MembersChanged{Self: endive.Peer{ID: n.ID}, Endpoints: endive.Endpoints{{}}}
	for _, o := range g.Nodes() {
		reachable := o.Up && !o.Paused() && o.Partitioned == n.Partitioned
		at, ended := g.stoppedAt[o.ID]
		listed := !ended || g.Now().Sub(at) < instanceListLag
		state := endive.MemberGone
		switch {
		case reachable:
			state = endive.MemberLive
		case listed:
			state = endive.MemberSuspect
		}
		machine := o.Machine.(*Machine)
		view.Peers = append(view.Peers, endive.Peer{
			ID: o.ID, Incarnation: o.Incarnation, State: state, Ready: reachable && machine.Ready(o.Now()),
		})
		if reachable && o != n && g.Rand.Intn(100) >= g.Faults.LostMessage {
			beat := &wire.Heartbeat{ConfigRevision: uint64(g.config[o].Revision)}
			n.Deliver(time.Duration(g.Rand.Intn(700))*time.Millisecond,
				endive.Received{From: o.ID, Incarnation: o.Incarnation, Message: beat})
		}
	}
	return view
}

// observe checks the actions of a machine.
func (g *group) observe(n *fakes.Node, action endive.Action) {
	switch a := action.(type) {
	case endive.PublishConfig:
		old := g.config[n]
		if a.Config.Revision < old.Revision {
			g.t.Fatalf("%s: published revision %d after revision %d", n.ID, a.Config.Revision, old.Revision)
		}
		for key, c := range old.Resources {
			if a.Config.Resources[key].Ticket < c.Ticket {
				g.t.Fatalf("%s: %s went back from ticket %d to %d", n.ID, key, c.Ticket, a.Config.Resources[key].Ticket)
			}
		}
		g.config[n] = a.Config
	case ApplyResult:
		if _, ok := g.results[a.Tag]; ok {
			g.t.Fatalf("second result for tag %d", a.Tag)
		}
		g.results[a.Tag] = a
		g.checkResult(a)
	}
}

// checkResult checks the result of a ticket against the table.
func (g *group) checkResult(a ApplyResult) {
	rows, _ := g.Table.Read(context.Background(), ticketKey(a.Number))
	written := len(rows) == 1 && decodeTicket(rows[0]).Digest == g.digests[a.Tag]
	if len(rows) == 1 && rows[0].Version != 1 {
		g.t.Fatalf("ticket %d was written %d times", a.Number, rows[0].Version)
	}
	if claimed := a.State == StateInForce || a.State == StatePending && !a.Unconfirmed; claimed && !written {
		g.t.Fatalf("ticket %d is reported as %s but not in the table", a.Number, a.State)
	}
	if (a.State == StateConflict || a.State == StateInvalid) && written {
		g.t.Fatalf("ticket %d is reported as %s but in the table", a.Number, a.State)
	}
	if a.State != StateInForce {
		return
	}
	for _, r := range resourcesOf(g.tickets[a.Tag]) {
		g.inForce[r.key] = max(g.inForce[r.key], a.Number)
	}
	g.checkReadyEntries()
}

// checkReadyEntries checks that each entry that may serve clients has the tickets that
// were reported as in force.
func (g *group) checkReadyEntries() {
	for _, n := range g.Nodes() {
		if !n.Up || n.Paused() || !n.Machine.(*Machine).Ready(n.Now()) {
			continue
		}
		g.readyChecks++
		for key, number := range g.inForce {
			if got := g.config[n].Resources[key].Ticket; got < number {
				g.t.Fatalf("%s serves clients with ticket %d of %s after ticket %d was reported as in force", n.ID, got, key, number)
			}
		}
	}
}

// apply submits an operator's ticket to an entry.
func (g *group) apply(n *fakes.Node, ticket endive.Ticket, timeout time.Duration) Tag {
	tag := Tag(len(g.tickets) + 1)
	g.tickets[tag] = ticket
	g.digests[tag] = digestOf(ticket)
	n.Deliver(0, Apply{Tag: tag, Ticket: ticket, Deadline: n.Now().Add(timeout)})
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

// injectFault starts one kind of fault and ends it after the duration.
func (g *group) injectFault(kind, entry int, duration time.Duration) {
	n := g.node(entry)
	switch kind {
	case 0:
		n.Pause(duration)
		if duration > 6*time.Second {
			g.stoppedAt[n.ID] = g.Now()
			g.At(duration+instanceListLag, func() {
				if n.Up {
					delete(g.stoppedAt, n.ID)
				}
			})
		}
	case 1:
		g.stop(n)
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
			entry := rapid.IntRange(0, 3).Draw(t, "receiving entry")
			at := rapid.IntRange(500, 25000).Draw(t, "at")
			g.At(time.Duration(at)*time.Millisecond, func() { g.apply(g.node(entry), ticket, 10*time.Second) })
		}
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			kind := rapid.IntRange(0, 4).Draw(t, "fault kind")
			entry := rapid.IntRange(0, 3).Draw(t, "faulty entry")
			at := rapid.IntRange(0, 20000).Draw(t, "fault at")
			duration := rapid.IntRange(100, 15000).Draw(t, "fault duration")
			g.At(time.Duration(at)*time.Millisecond, func() {
				g.injectFault(kind, entry, time.Duration(duration)*time.Millisecond)
			})
		}
		g.Run(40 * time.Second)
		g.checkRecovery()
	})
}

// checkRecovery checks that a new ticket comes into force on all entries once the
// faults have ended.
func (g *group) checkRecovery() {
	g.Faults = fakes.Faults{}
	g.Run(30 * time.Second)
	tag := g.apply(g.node(0), endive.Ticket{Number: 100, Teams: endive.Teams{{Name: "team-0"}}}, 4*time.Second)
	g.Run(5 * time.Second)
	if got := g.results[tag]; got.State != StateInForce {
		g.t.Fatalf("the ticket after the faults is not in force: %+v", got)
	}
	for _, n := range g.Nodes() {
		if n.Up && !n.Machine.(*Machine).Ready(n.Now()) {
			g.t.Fatalf("%s isn't ready after the faults", n.ID)
		}
	}
}
