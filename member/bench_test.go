package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/wire"
)

// The size of a cell that is expected in two years.
const (
	benchEntries   = 20
	benchWorkers   = 690
	benchExecutors = 350
)

// benchList returns an instance list with the given numbers of entries, workers and executors.
func benchList(entries, workers, executors int) []endive.Instance {
	var list []endive.Instance
	for i := range entries {
		list = append(list, endive.Instance{ID: string(benchEntry(i)), Kind: endive.KindEntry, Region: "gogledd", Zone: "gogledd-1"})
	}
	for i := range workers {
		list = append(list, endive.Instance{
			ID: fmt.Sprintf("worker-%03d", i), Kind: endive.KindWorker, Region: "gogledd", Zone: "gogledd-1",
			Address: "127.0.0.1:8000", Pool: "quoting", Rack: "rack-1", Size: endive.Resources{Processors: 32000},
		})
	}
	for i := range executors {
		list = append(list, endive.Instance{
			ID: fmt.Sprintf("quote-%03d", i), Kind: endive.KindExecutor, Region: "gogledd", Zone: "gogledd-1",
			Address: "127.0.0.1:8000", Service: "quote",
		})
	}
	return list
}

func benchEntry(i int) endive.EntryID { return endive.EntryID(fmt.Sprintf("entry-%02d", i)) }

// benchLoads returns the load figures of 12 slices and 10 services.
func benchLoads() LoadsChanged {
	var loads LoadsChanged
	for i := range 12 {
		loads.Slices = append(loads.Slices, &wire.SliceLoad{
			Slice: fmt.Sprintf("quoting.gogledd.%d", i), Epoch: 1000, Queued: 5000,
			Free: &wire.ResourceCount{Processors: 400000, Memory: int64(400 * endive.GiB), Accelerators: 9},
		})
	}
	for i := range 10 {
		loads.Services = append(loads.Services, &wire.ServiceLoad{Service: fmt.Sprintf("service-%d", i), Waiting: 200, Running: 200, IdleSlots: 20})
	}
	return loads
}

// benchMachine returns the machine of an entry in a cell of the given size, with five leave
// notices.
func benchMachine(entries, workers, executors int) (*Machine, *fakes.Clock) {
	clock := fakes.NewClock()
	m := New(endive.Peer{ID: benchEntry(0), Region: "gogledd", Zone: "gogledd-1"}, nil, Settings{})
	m.Step(clock.Now(), InstancesListed{Instances: benchList(entries, workers, executors)})
	m.Step(clock.Now(), benchLoads())
	benchNotices(m, clock)
	return m, clock
}

// benchNotices passes five leave notices to a machine, which ignores those that it still has.
func benchNotices(m *Machine, clock *fakes.Clock) {
	for i := range 5 {
		m.Step(clock.Now(), EndpointLeaving{fmt.Sprintf("quote-%03d", i)})
	}
}

// benchHeartbeats passes b.N heartbeats to a machine, from its peers in turn.
// The clock advances by one period after each round of peers.
func benchHeartbeats(b *testing.B, m *Machine, clock *fakes.Clock, entries int) {
	heartbeat := &wire.Heartbeat{Ready: true, Region: "gogledd", Zone: "gogledd-1"}
	for i := range b.N {
		if i%(entries-1) == 0 {
			b.StopTimer()
			clock.Advance(time.Second)
			m.Step(clock.Now(), endive.Wake{})
			b.StartTimer()
		}
		heartbeat.Sequence, heartbeat.Echo = uint64(i+1), m.sequence
		m.Step(clock.Now(), endive.Received{From: benchEntry(1 + i%(entries-1)), Incarnation: "1", Message: heartbeat})
	}
}

// BenchmarkMember measures the handling of events at today's size and at the size expected in
// two years.
func BenchmarkMember(b *testing.B) {
	sizes := []struct {
		name                        string
		entries, workers, executors int
	}{
		{"today", 7, 48, 48},
		{"twoYears", benchEntries, benchWorkers, benchExecutors},
	}
	for _, s := range sizes {
		b.Run(s.name+"/heartbeat", func(b *testing.B) {
			m, clock := benchMachine(s.entries, s.workers, s.executors)
			b.ResetTimer()
			benchHeartbeats(b, m, clock, s.entries)
		})
		b.Run(s.name+"/list", func(b *testing.B) {
			m, clock := benchMachine(s.entries, s.workers, s.executors)
			listed := InstancesListed{Instances: benchList(s.entries, s.workers, s.executors)}
			b.ResetTimer()
			for range b.N {
				clock.Advance(time.Millisecond)
				m.Step(clock.Now(), listed)
			}
		})
		b.Run(s.name+"/period", func(b *testing.B) {
			m, clock := benchMachine(s.entries, s.workers, s.executors)
			b.ResetTimer()
			for range b.N {
				clock.Advance(time.Second)
				m.Step(clock.Now(), endive.Wake{})
			}
		})
	}
}

// BenchmarkHeartbeat measures the bytes of the heartbeats that an entry sends per second. It
// sends one every half second to each peer, with 5 leave notices and, each second, new load
// figures of 10 services and of the slices that it holds.
func BenchmarkHeartbeat(b *testing.B) {
	for _, entries := range []int{7, benchEntries} {
		for _, held := range []int{1, 12} {
			b.Run(fmt.Sprintf("entries=%d/slices=%d", entries, held), func(b *testing.B) {
				m, clock := benchMachine(entries, benchWorkers, benchExecutors)
				m.settings.Heartbeat = endive.Interval(500 * time.Millisecond)
				loads := benchLoads()
				loads.Slices = loads.Slices[:held]
				sent, messages := 0, 0
				for i := range 2 * b.N {
					benchNotices(m, clock)
					if i%2 == 0 {
						m.Step(clock.Now(), loads)
					}
					clock.Advance(500 * time.Millisecond)
					for _, action := range m.Step(clock.Now(), endive.Wake{}) {
						if send, ok := action.(endive.Send); ok {
							sent += proto.Size(wire.Wrap(send.Message))
							messages++
						}
					}
				}
				b.ReportMetric(float64(sent)/float64(messages), "B/message")
				b.ReportMetric(float64(sent)/float64(b.N), "B/s")
			})
		}
	}
}

// BenchmarkMemory measures the memory used per endpoint.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m, _ := benchMachine(benchEntries, benchWorkers, benchExecutors)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(benchWorkers+benchExecutors), "B/endpoint")
		runtime.KeepAlive(m)
	}
}
