package watch

import (
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// TestPacking checks that only live workers count, and only samples taken while tasks are queued.
func TestPacking(t *testing.T) {
	is := is.New(t)
	size := endive.Resources{Processors: 1000, Memory: 100}
	worker := func(id string, state endive.MemberState, tasks int) apiv1.Worker {
		committed := endive.Resources{Processors: 500, Memory: 25}.Times(int64(tasks))
		return apiv1.Worker{ID: endive.WorkerID(id), Pool: "quoting", State: state, Size: size, Tasks: tasks, Committed: committed}
	}
	s := newSnapshot()
	s.addWorkers([]apiv1.Worker{worker("a", endive.MemberLive, 2), worker("b", endive.MemberLive, 0), worker("c", endive.MemberGone, 2)})
	w := &Watcher{pools: make(map[endive.PoolName]*Packing)}
	w.addSample(s)
	is.Equal(*w.pools["quoting"], Packing{Pool: "quoting", TotalSamples: 1, Max: 0.5})
	s.addSlices([]apiv1.Slice{{Pool: "quoting", Queued: 1}, {Pool: "quoting"}})
	w.addSample(s)
	is.Equal(*w.pools["quoting"], Packing{Pool: "quoting", TotalSamples: 2, QueuedSamples: 1, Processors: 0.5, Memory: 0.25, Max: 0.5})
	s.setUsage(map[endive.WorkerID]endive.Resources{"b": size, "stranger": size})
	w.addSample(s)
	is.Equal(w.pools["quoting"].Max, 1.0)
}
