package keep

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// newBenchMachine returns a machine that calls onSend for each SendRequest.
func newBenchMachine(onSend func(n *fakes.Node, p SendRequest)) (*fakes.Simulation, *fakes.Node, *fakes.Counts) {
	g, counts := fakes.NewSimulation(1), new(fakes.Counts)
	g.HandleAction = func(n *fakes.Node, action endive.Action) {
		if p, ok := action.(SendRequest); ok {
			onSend(n, p)
		}
	}
	n := g.Start("entry-0", "run-1", &fakes.CountingMachine{Machine: New(Settings{}, "entry-0", "run-1"), Counts: counts})
	return g, n, counts
}

// postRequests posts requests with different keys, one per millisecond.
func postRequests(n *fakes.Node, from, to int) {
	for i := from; i < to; i++ {
		n.Deliver(time.Duration(i-from)*time.Millisecond, BeginRequest{
			Tag: Tag(i + 1), Request: endive.RequestID(fmt.Sprint("request-", i)), Service: "cut",
			Key: endive.IdempotencyKey(fmt.Sprint("panel-", i)), Digest: "digest", Deadline: n.Now().Add(time.Hour),
		})
	}
}

// BenchmarkMachine measures non-idempotent requests, a thousand per second, each with
// a response of 1 KiB.
func BenchmarkMachine(b *testing.B) {
	body := make([]byte, endive.KiB)
	g, n, counts := newBenchMachine(func(n *fakes.Node, p SendRequest) {
		n.Deliver(200*time.Millisecond, RequestDone{Request: p.Request, Outcome: endive.Answered, Status: 200, Body: body})
	})
	g.Run(time.Second)
	*counts = fakes.Counts{}
	b.ResetTimer()
	for done := 0; done < b.N; done += 1000 {
		postRequests(n, done, min(done+1000, b.N))
		g.Run(2 * time.Second)
	}
	per := func(n int) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(float64(counts.StepTime.Nanoseconds())/float64(b.N), "step-ns/request")
	b.ReportMetric(per(counts.Transactions), "transactions/request")
	b.ReportMetric(per(counts.Writes), "rows/request")
	b.ReportMetric(per(counts.Fetches+counts.Scans), "reads/request")
}

// BenchmarkMemory measures the memory per running request.
func BenchmarkMemory(b *testing.B) {
	const requests = 10000
	for range b.N {
		g, n, _ := newBenchMachine(func(*fakes.Node, SendRequest) {})
		g.Run(time.Second)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		postRequests(n, 0, requests)
		g.Run(time.Minute)
		g.Table = fakes.NewMemoryTable()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/requests, "B/request")
		runtime.KeepAlive(n)
	}
}
