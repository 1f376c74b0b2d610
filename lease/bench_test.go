package lease

import (
	"fmt"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// benchMembers returns the members and the configuration of a cell of the size expected in
// two years.
func benchMembers(entries int) (endive.MembersChanged, endive.Config) {
	var view endive.MembersChanged
	for i := range entries {
		view.Peers = append(view.Peers, endive.Peer{
			ID: endive.EntryID(fmt.Sprintf("entry-%02d", i)), Incarnation: endive.Incarnation(fmt.Sprint("run-", i)),
			Region: []endive.Region{"gogledd", "de"}[i%2], State: endive.MemberLive, Ready: true,
		})
	}
	config := endive.Config{Resources: make(map[endive.ResourceKey]endive.ConfiguredResource)}
	for i := range 6 {
		pool := &endive.Pool{Name: endive.PoolName(fmt.Sprint("pool-", i))}
		config.Resources[pool.Key()] = endive.ConfiguredResource{Pool: pool}
	}
	for i := range 690 {
		view.Endpoints = append(view.Endpoints, endive.Endpoint{State: endive.MemberLive, Instance: endive.Instance{
			ID: fmt.Sprintf("worker-%03d", i), Kind: endive.KindWorker, Region: []endive.Region{"gogledd", "de"}[i%2],
			Pool: endive.PoolName(fmt.Sprint("pool-", i/2%6)),
		}})
	}
	for i := range 350 {
		view.Endpoints = append(view.Endpoints, endive.Endpoint{State: endive.MemberLive, Instance: endive.Instance{
			ID: fmt.Sprintf("x-%03d", i), Kind: endive.KindExecutor, Service: "quote",
		}})
	}
	return view, config
}

// BenchmarkMachines measures one second of 20 entries that hold 12 slices with 690 workers: the
// processor time of one entry, and the requests of all entries to the table service.
func BenchmarkMachines(b *testing.B) {
	const entries = 20
	g := fakes.NewSimulation(1)
	g.HandleAction = func(*fakes.Node, endive.Action) {}
	view, config := benchMembers(entries)
	counts := new(fakes.Counts)
	for _, p := range view.Peers {
		machine := New(Settings{}, p.ID, p.Incarnation)
		n := g.Start(p.ID, p.Incarnation, &fakes.CountingMachine{Machine: machine, Counts: counts})
		n.Deliver(0, endive.ConfigChanged{Config: config})
		n.Deliver(0, view)
	}
	g.Run(time.Minute)
	*counts = fakes.Counts{}
	b.ResetTimer()
	for range b.N {
		g.Run(time.Second)
	}
	perSecond := func(n int) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(float64(counts.StepTime.Microseconds())/float64(b.N*entries), "µs/entry/s")
	b.ReportMetric(perSecond(counts.Transactions), "transactions/s")
	b.ReportMetric(perSecond(counts.Writes), "rows/s")
	b.ReportMetric(perSecond(counts.Scans), "scans/s")
}

// BenchmarkMembersChanged measures the handling of one MembersChanged event at the size
// expected in two years.
func BenchmarkMembersChanged(b *testing.B) {
	view, config := benchMembers(20)
	k := New(Settings{}, "entry-00", "run-0")
	now := fakes.NewClock().Now()
	k.Step(now, endive.ConfigChanged{Config: config})
	b.ResetTimer()
	for range b.N {
		k.Step(now, view)
	}
}
