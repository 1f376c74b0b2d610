package ticket

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/wire"
)

// benchResources is how many resources are configured.
const benchResources = 2000

// benchGroup runs keepers of some entries with configured teams.
type benchGroup struct {
	*fakes.Simulation
	entries int
	counts  fakes.Counts
	config  endive.Config
	answers int
	// waited is the time until tickets were in force everywhere.
	waited time.Duration
	began  time.Time
}

func newBenchGroup(entries, resources int) *benchGroup {
	g := &benchGroup{Simulation: fakes.NewSimulation(1), entries: entries}
	g.HandleAction = g.observe
	for i := range entries {
		keeper := New(Settings{}, entryID(i), "run")
		g.Start(entryID(i), "run", &fakes.CountingMachine{Machine: keeper, Counts: &g.counts})
	}
	g.beat()
	g.Run(20 * time.Second)
	for number := 1; (number-1)*100 < resources; number++ {
		ticket := endive.Ticket{Number: endive.TicketNumber(number)}
		for i := range 100 {
			ticket.Teams = append(ticket.Teams, benchTeam((number-1)*100+i))
		}
		g.apply(ticket)
	}
	g.counts, g.answers, g.waited = fakes.Counts{}, 0, 0
	return g
}

func benchTeam(i int) endive.Team {
	return endive.Team{Name: endive.TeamName(fmt.Sprint("team-", i)), Quota: endive.Resources{Processors: 64000, Memory: 256 * endive.GiB}}
}

// apply gives a ticket to the first entry and waits until it is in force.
func (g *benchGroup) apply(ticket endive.Ticket) {
	g.began = g.Now()
	n := g.Nodes()[0]
	n.Deliver(0, Apply{Tag: 1, Ticket: ticket, Deadline: n.Now().Add(time.Minute)})
	g.Run(2 * time.Second)
}

func (g *benchGroup) observe(n *fakes.Node, action endive.Action) {
	switch a := action.(type) {
	case endive.PublishConfig:
		g.config = a.Config
	case Answer:
		if a.State == StateInForce {
			g.answers++
			g.waited += g.Now().Sub(g.began)
		}
	}
}

// beat gives each entry the heartbeats of the others once a second.
func (g *benchGroup) beat() {
	view := endive.MembersChanged{Endpoints: endive.Endpoints{{}}}
	for _, n := range g.Nodes() {
		view.Peers = append(view.Peers, endive.Peer{ID: n.ID, Incarnation: "run", State: endive.MemberLive, Ready: true})
	}
	for i, n := range g.Nodes() {
		view.Self = view.Peers[i]
		n.Deliver(0, view)
		for _, o := range g.Nodes() {
			beat := &wire.Heartbeat{ConfigRevision: uint64(o.Machine.(*fakes.CountingMachine).Machine.(*Keeper).published.Revision)}
			if o != n {
				n.Deliver(time.Millisecond, endive.Received{From: o.ID, Incarnation: "run", Message: beat})
			}
		}
	}
	g.At(time.Second, g.beat)
}

// BenchmarkTicket measures a ticket that touches one of many resources, with the
// two seconds around it: the processor time of all entries, messages, reads, and
// how long it took until it was in force everywhere.
func BenchmarkTicket(b *testing.B) {
	for _, entries := range []int{7, 20} {
		for _, resources := range []int{200, benchResources} {
			b.Run(fmt.Sprintf("entries=%d/resources=%d", entries, resources), func(b *testing.B) {
				g := newBenchGroup(entries, resources)
				b.ResetTimer()
				for i := range b.N {
					g.apply(endive.Ticket{Number: endive.TicketNumber(1000 + i), Teams: endive.Teams{benchTeam(i % resources)}})
				}
				per := func(n float64) float64 { return n / float64(b.N) }
				b.ReportMetric(per(float64(g.counts.StepTime.Microseconds()))/float64(entries), "µs/entry")
				b.ReportMetric(per(float64(g.counts.MessageBytes)), "B/ticket")
				b.ReportMetric(per(float64(g.counts.Messages)), "messages/ticket")
				b.ReportMetric(per(float64(g.counts.Scans)), "scans/ticket")
				b.ReportMetric(per(float64(g.counts.Writes)), "rows/ticket")
				b.ReportMetric(float64(g.waited.Milliseconds())/float64(g.answers), "ms-to-inForce")
				b.ReportMetric(per(float64(g.answers)), "inForce/ticket")
			})
		}
	}
}

// BenchmarkIdle measures a second of an entry without tickets, heartbeats
// included, with 2,000 resources.
func BenchmarkIdle(b *testing.B) {
	const entries = 20
	g := newBenchGroup(entries, benchResources)
	b.ResetTimer()
	for range b.N {
		g.Run(time.Second)
	}
	b.ReportMetric(float64(g.counts.StepTime.Microseconds())/float64(b.N*entries), "µs/entry/s")
	b.ReportMetric(float64(g.counts.Scans)/float64(b.N), "scans/s")
	b.ReportMetric(float64(g.counts.Messages)/float64(b.N), "messages/s")
}

// BenchmarkState measures the whole configuration of 2,000 resources as a peer
// gets it while the table is down.
func BenchmarkState(b *testing.B) {
	g := newBenchGroup(1, benchResources)
	k := g.Nodes()[0].Machine.(*fakes.CountingMachine).Machine.(*Keeper)
	size := 0
	for range b.N {
		for _, action := range k.stateAsked(g.Nodes()[0].Now(), "entry-9", &wire.StateAsk{}) {
			size = proto.Size(wire.Wrap(action.(endive.Send).Message))
		}
	}
	b.ReportMetric(float64(size), "B")
	b.ReportMetric(float64(len(g.config.Resources)), "resources")
}
