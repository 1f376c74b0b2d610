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

// benchResources is the number of configured resources.
const benchResources = 2000

// benchGroup runs the machines of several entries with configured teams.
type benchGroup struct {
	*fakes.Simulation
	entries      int
	counts       fakes.Counts
	config       endive.Config
	inForceCount int
	// totalWait is the sum of the times until tickets were in force on all entries.
	totalWait time.Duration
	appliedAt time.Time
}

func newBenchGroup(entries, resources int) *benchGroup {
	g := &benchGroup{Simulation: fakes.NewSimulation(1), entries: entries}
	g.HandleAction = g.observe
	for i := range entries {
		machine := New(Settings{}, entryID(i), "run")
		g.Start(entryID(i), "run", &fakes.CountingMachine{Machine: machine, Counts: &g.counts})
	}
	g.sendHeartbeats()
	g.Run(20 * time.Second)
	for number := 1; (number-1)*100 < resources; number++ {
		ticket := endive.Ticket{Number: endive.TicketNumber(number)}
		for i := range 100 {
			ticket.Teams = append(ticket.Teams, benchTeam((number-1)*100+i))
		}
		g.apply(ticket)
	}
	g.counts, g.inForceCount, g.totalWait = fakes.Counts{}, 0, 0
	return g
}

func benchTeam(i int) endive.Team {
	return endive.Team{Name: endive.TeamName(fmt.Sprint("team-", i)), Quota: endive.Resources{Processors: 64000, Memory: 256 * endive.GiB}}
}

// apply submits a ticket to the first entry and waits until it is in force.
func (g *benchGroup) apply(ticket endive.Ticket) {
	g.appliedAt = g.Now()
	n := g.Nodes()[0]
	n.Deliver(0, Apply{Tag: 1, Ticket: ticket, Deadline: n.Now().Add(time.Minute)})
	g.Run(2 * time.Second)
}

func (g *benchGroup) observe(n *fakes.Node, action endive.Action) {
	switch a := action.(type) {
	case endive.PublishConfig:
		g.config = a.Config
	case ApplyResult:
		if a.State == StateInForce {
			g.inForceCount++
			g.totalWait += g.Now().Sub(g.appliedAt)
		}
	}
}

// sendHeartbeats sends each entry the heartbeats of the others once a second.
func (g *benchGroup) sendHeartbeats() {
	view := endive.MembersChanged{Endpoints: endive.Endpoints{{}}}
	for _, n := range g.Nodes() {
		view.Peers = append(view.Peers, endive.Peer{ID: n.ID, Incarnation: "run", State: endive.MemberLive, Ready: true})
	}
	for i, n := range g.Nodes() {
		view.Self = view.Peers[i]
		n.Deliver(0, view)
		for _, o := range g.Nodes() {
			beat := &wire.Heartbeat{ConfigRevision: uint64(o.Machine.(*fakes.CountingMachine).Machine.(*Machine).published.Revision)}
			if o != n {
				n.Deliver(time.Millisecond, endive.Received{From: o.ID, Incarnation: "run", Message: beat})
			}
		}
	}
	g.At(time.Second, g.sendHeartbeats)
}

// BenchmarkTicket measures a ticket that changes one of many resources: the CPU time
// of all entries, messages and reads within two seconds, and the time until the ticket
// is in force on all entries.
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
				b.ReportMetric(float64(g.totalWait.Milliseconds())/float64(g.inForceCount), "ms-to-inForce")
				b.ReportMetric(per(float64(g.inForceCount)), "inForce/ticket")
			})
		}
	}
}

// BenchmarkIdle measures the cost of one second without tickets, including heartbeats,
// with 2,000 resources.
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

// BenchmarkState measures the size of the message in which a peer receives 2,000
// resources while the table is unavailable.
func BenchmarkState(b *testing.B) {
	g := newBenchGroup(1, benchResources)
	k := g.Nodes()[0].Machine.(*fakes.CountingMachine).Machine.(*Machine)
	size := 0
	for range b.N {
		for _, action := range k.handleStateAsk(g.Nodes()[0].Now(), "entry-9", &wire.StateAsk{}) {
			size = proto.Size(wire.Wrap(action.(endive.Send).Message))
		}
	}
	b.ReportMetric(float64(size), "B")
	b.ReportMetric(float64(len(g.config.Resources)), "resources")
}
