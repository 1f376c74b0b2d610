package keep

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// benchKeeper returns a keeper whose requests are answered by done.
func benchKeeper(done func(n *fakes.Node, p Proceed)) (*fakes.Simulation, *fakes.Node, *fakes.Counts) {
	g, counts := fakes.NewSimulation(1), new(fakes.Counts)
	g.HandleAction = func(n *fakes.Node, action endive.Action) {
		if p, ok := action.(Proceed); ok {
			done(n, p)
		}
	}
	n := g.Start("entry-0", "run-1", &fakes.CountingMachine{Machine: New(Settings{}, "entry-0", "run-1"), Counts: counts})
	return g, n, counts
}

// benchBegin gives a keeper requests under keys of their own.
func benchBegin(n *fakes.Node, from, to int) {
	for i := from; i < to; i++ {
		n.Deliver(time.Duration(i-from)*time.Millisecond, Begin{
			Tag: Tag(i + 1), Request: endive.RequestID(fmt.Sprint("request-", i)), Service: "cut",
			Key: endive.IdempotencyKey(fmt.Sprint("panel-", i)), Digest: "digest", Deadline: n.Now().Add(time.Hour),
		})
	}
}

// BenchmarkKeeper measures a non-idempotent request, a thousand of them in a
// second, each with an answer of 1 KiB.
func BenchmarkKeeper(b *testing.B) {
	body := make([]byte, endive.KiB)
	g, n, counts := benchKeeper(func(n *fakes.Node, p Proceed) {
		n.Deliver(200*time.Millisecond, Done{Request: p.Request, Outcome: endive.Answered, Status: 200, Body: body})
	})
	g.Run(time.Second)
	*counts = fakes.Counts{}
	b.ResetTimer()
	for done := 0; done < b.N; done += 1000 {
		benchBegin(n, done, min(done+1000, b.N))
		g.Run(2 * time.Second)
	}
	per := func(n int) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(float64(counts.StepTime.Nanoseconds())/float64(b.N), "step-ns/request")
	b.ReportMetric(per(counts.Transactions), "transactions/request")
	b.ReportMetric(per(counts.Writes), "rows/request")
	b.ReportMetric(per(counts.Fetches+counts.Scans), "reads/request")
}

// BenchmarkMemory measures what a request takes that runs.
func BenchmarkMemory(b *testing.B) {
	const requests = 10000
	for range b.N {
		g, n, _ := benchKeeper(func(*fakes.Node, Proceed) {})
		g.Run(time.Second)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		benchBegin(n, 0, requests)
		g.Run(time.Minute)
		g.Table = fakes.NewMemoryTable()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/requests, "B/request")
		runtime.KeepAlive(n)
	}
}
