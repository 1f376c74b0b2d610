package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/slots"
)

// heapInUse returns the allocated heap bytes after a garbage collection.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemory measures the memory of one executor, one running request and
// one queued request.
func BenchmarkMemory(b *testing.B) {
	const executors, waiting = 350, 10000
	for range b.N {
		settings := DefaultSettings("e1", "i1")
		settings.QueueLimit = waiting + 1
		service, view := quoteExecutors(executors)
		now := time.Unix(0, 0)
		before := heapInUse()
		m := New(settings, slots.NewOwners("e1"), LowestLatency{})
		m.Step(now, endive.ConfigChanged{Config: endive.Config{Resources: map[endive.ResourceKey]endive.ConfiguredResource{
			service.Key(): {Ticket: 1, Service: &service},
		}}})
		m.Step(now, view)
		idle := heapInUse()
		ask := func(from, n int) {
			for i := range n {
				m.Step(now, ClientRequest{Request: endive.RequestID(fmt.Sprint("request-", from+i)), Service: "quote"})
			}
		}
		ask(0, 8*executors)
		busy := heapInUse()
		ask(8*executors, waiting)
		full := heapInUse()
		b.ReportMetric(float64(idle-before)/executors, "B/executor")
		b.ReportMetric(float64(busy-idle)/(8*executors), "B/running")
		b.ReportMetric(float64(full-busy)/waiting, "B/waiting")
		runtime.KeepAlive(m)
	}
}
