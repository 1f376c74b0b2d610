package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

func cores(n int) endive.Resources {
	return endive.Resources{Processors: endive.MilliProcessors(1000 * n), Memory: endive.Bytes(n) * endive.GiB}
}

func gpus(n int) endive.Resources {
	r := cores(8 * n)
	r.Accelerators = endive.Accelerators(n)
	return r
}

// startCluster returns a cluster with one entry, which holds the slice.
func startCluster(sizes ...endive.Resources) (*cluster, *entry) {
	c := newCluster(1, sizes...)
	e := c.join()
	c.acquire(e, false)
	c.run(time.Second)
	return c, e
}

func TestRunsEachKindOfJob(t *testing.T) {
	is := is.New(t)
	c, _ := startCluster(gpus(8), gpus(8), cores(32))
	c.submit(endive.Job{ID: "batch", Name: "batch", Team: "a", Tasks: 5, Need: cores(1)})
	c.submit(endive.Job{ID: "gang", Name: "gang", Team: "a", Kind: endive.KindGang, Tasks: 16, Need: gpus(1)})
	c.submit(endive.Job{ID: "watch", Name: "watch", Team: "a", Kind: endive.KindWatcher, Tasks: 2, Need: cores(1)})
	c.submit(endive.Job{ID: "cut", Name: "cut", Team: "a", Need: cores(1), NonIdempotent: true})
	c.run(5 * time.Second)
	is.Equal(c.running("batch"), 5)
	is.Equal(c.running("gang"), 16)
	is.Equal(c.running("watch"), 2)
	is.Equal(c.running("cut"), 1)
	c.run(100 * time.Second)
	for _, id := range []endive.JobID{"batch", "gang", "cut"} {
		s, ok := c.ended(id)
		is.True(ok)
		is.Equal(s.State, endive.JobSucceeded)
	}
	is.Equal(c.running("watch"), 2) // the watcher's tasks ended once and were started again
	c.cancel("watch")
	c.run(5 * time.Second)
	is.Equal(c.running("watch"), 0)
	s, _ := c.ended("watch")
	is.Equal(s.State, endive.JobCancelled)
	for _, w := range c.workers {
		is.Equal(len(w.tasks), 0) // workers forget attempts once their end is recorded
	}
}
