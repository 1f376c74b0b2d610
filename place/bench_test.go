package place

import (
	"fmt"
	"runtime"
	"sort"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// samples collects the run times of the machine's steps.
type samples struct {
	perDecision []time.Duration
	total       time.Duration
	placed      int
	// queued is the length at which the queue is kept; 0 leaves the queue
	// unchanged.
	queued   int
	jobCount int
}

// benchSize returns the size of worker i. Of each 18 workers, 13 have no
// accelerators and 5 have 8 of them.
func benchSize(i int) endive.Resources {
	if i%18 < 13 {
		return endive.Resources{Processors: 32000, Memory: 128 * endive.GiB}
	}
	return endive.Resources{Processors: 64000, Memory: 256 * endive.GiB, Accelerators: 8}
}

// benchJob returns job n of a mix of 380 teams, 4 priorities and 20 resource
// needs. A fifth of the jobs needs accelerators.
func benchJob(n int) endive.Job {
	// Multiplicative hashing makes the properties independent of each other.
	i := int(uint64(n+1) * 0x9e3779b97f4a7c15 >> 20)
	j := endive.Job{
		ID: endive.JobID(fmt.Sprint("j", n)), Name: endive.JobName(fmt.Sprint("n", i%100)),
		Team: endive.TeamName(fmt.Sprint("t", i/7%380)), Pool: "p", Kind: endive.KindBatch, Tasks: 1, Attempts: 3,
		RunTime: endive.Interval(8 * time.Second), Priority: endive.Priority(i / 3 % 7 % 3 * 100),
		Need: endive.Resources{Processors: endive.MilliProcessors(4500 + 450*(i%20)), Memory: endive.Bytes(8+i%20) * endive.GiB},
	}
	if i/11%50 == 0 {
		j.Priority = endive.PriorityUrgent
	}
	if i%5 == 0 {
		j.Need.Accelerators = endive.Accelerators(1 + i/5%2)
	}
	return j
}

// benchCluster returns a cluster whose workers are full and whose queue has the
// given length.
func benchCluster(workers, queued int, placer endive.Placer) (*cluster, *entry, *samples) {
	sizes := make([]endive.Resources, workers)
	for i := range sizes {
		sizes[i] = benchSize(i)
	}
	c := newCluster(1, sizes...)
	for _, w := range c.workers {
		w.plan = func(endive.StartTask) (time.Duration, endive.TaskState) {
			return time.Duration(3500+c.random.Intn(6500)) * time.Millisecond, endive.TaskSucceeded
		}
	}
	s := &samples{queued: queued}
	e := c.join()
	e.machine.placer = placer
	c.acquire(e, false)
	c.run(time.Second)
	e.samples = s
	c.run(20 * time.Second)
	s.perDecision, s.total, s.placed = nil, 0, 0
	return c, e, s
}

// observe records the run time of a step and refills the queue.
func (s *samples) observe(e *entry, d time.Duration, actions []endive.Action) {
	n := 0
	for _, a := range actions {
		if got, ok := a.(endive.Decision); ok && got.Kind == endive.DecisionPlace {
			n++
		}
	}
	s.total += d
	s.placed += n
	if n > 0 {
		s.perDecision = append(s.perDecision, d/time.Duration(n))
	}
	for e.machine.loader.loaded && e.machine.waitingTasks < s.queued {
		s.jobCount++
		e.machine.admit(&job{Job: benchJob(s.jobCount)}, false)
	}
}

func (s *samples) quantile(q float64) float64 {
	sort.Slice(s.perDecision, func(i, k int) bool { return s.perDecision[i] < s.perDecision[k] })
	return float64(s.perDecision[int(q*float64(len(s.perDecision)-1))].Nanoseconds()) / 1000
}

// BenchmarkDecision measures the time per placed task in a full slice, for
// several queue lengths and numbers of workers. One operation is one second of
// simulated time.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 128, 690} {
		for _, queued := range []int{1000, 10000, 100000, 1000000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", workers, queued), func(b *testing.B) {
				c, e, s := benchCluster(workers, queued, BestFit{})
				runtime.GC()
				b.ResetTimer()
				for range b.N {
					c.run(time.Second)
				}
				b.ReportMetric(s.quantile(0.5), "p50-µs")
				b.ReportMetric(s.quantile(0.99), "p99-µs")
				b.ReportMetric(float64(s.placed)/float64(b.N), "starts/s")
				b.ReportMetric(100*s.total.Seconds()/float64(b.N), "%core")
				running := 0
				for _, w := range e.machine.workers.list {
					running += len(w.attempts)
				}
				b.ReportMetric(float64(running), "running")
			})
		}
	}
}

// BenchmarkCancel measures 10,000 cancellations in the result of one scan: the
// total time of the steps that apply them, and the longest step.
func BenchmarkCancel(b *testing.B) {
	for range b.N {
		c, e, s := benchCluster(128, 100000, BestFit{})
		s.queued, s.total = 0, 0
		before := e.machine.waitingTasks
		changes := endive.Changes{Revision: e.machine.loader.cancels.after + 1}
		for i := range 10000 {
			changes.Rows = append(changes.Rows, endive.Row{
				Key: rows.CancelKey(testSlice.ID, endive.JobID(fmt.Sprint("j", s.jobCount-i))), Revision: changes.Revision,
			})
		}
		e.machine.loader.cancels.pending++
		runtime.GC()
		var longest time.Duration
		for event := endive.Event(endive.Scanned{Prefix: rows.CancelsPrefix(testSlice.ID), Changes: changes}); ; event = (endive.Wake{}) {
			spent := s.total
			e.step(event)
			longest = max(longest, s.total-spent)
			if len(e.machine.loader.pendingCancels) == 0 {
				break
			}
		}
		b.ReportMetric(float64(s.total.Microseconds())/1000, "ms/wave")
		b.ReportMetric(float64(longest.Microseconds())/1000, "ms/step")
		b.ReportMetric(float64(before-e.machine.waitingTasks), "cancelled")
		c.run(time.Minute)
		ended := 0
		for key := range c.table.rows {
			if len(key) > 6 && key[:6] == "ended/" {
				ended++
			}
		}
		b.ReportMetric(float64(ended), "recorded")
	}
}

// BenchmarkMemory measures the memory that a queued job takes.
func BenchmarkMemory(b *testing.B) {
	const jobs = 100000
	for range b.N {
		_, e, _ := benchCluster(50, 0, BestFit{})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range jobs {
			e.machine.admit(&job{Job: benchJob(i)}, false)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/jobs, "B/job")
		runtime.KeepAlive(e)
	}
}

// BenchmarkPacking compares the placers at an accelerator load of 75%, with
// tasks that need 1, 2, 4 or 8 accelerators. It reports the accelerators in use
// while tasks wait for some, and the mean number of waiting tasks, of all and
// of those that need a whole worker.
func BenchmarkPacking(b *testing.B) {
	for _, placer := range []endive.Placer{BestFit{}, FirstFit{}, Spread{}} {
		b.Run(fmt.Sprintf("%T", placer), func(b *testing.B) {
			c, e, _ := benchCluster(54, 0, placer)
			m := e.machine
			n, busy, blocked, waiting, whole := 0, 0.0, 0, 0, 0
			// 15 workers have 8 accelerators each; a task needs 3.75 on average.
			rate := 0.75 * 15 * 8 / 3.75 / 6.75
			const seconds = 600
			for tick := range seconds * 10 * b.N {
				for c.random.Float64() < rate/10/(1+rate/10) {
					n++
					need := []int{1, 2, 4, 8}[c.random.Intn(4)]
					j := testJob(fmt.Sprint("x", n), gpus(need), endive.PriorityNormal)
					j.Name = "x"
					j.Defaults()
					m.admit(&job{Job: j}, false)
				}
				c.run(100 * time.Millisecond)
				if tick%10 != 0 || m.waitingAcceleratorTasks == 0 {
					continue
				}
				blocked++
				waiting += m.waitingAcceleratorTasks
				for _, j := range m.jobs {
					if j.Need.Accelerators == 8 {
						whole += j.waitingTasks()
					}
				}
				var used endive.Resources
				for _, w := range m.workers.list {
					used = used.Add(w.used)
				}
				busy += float64(used.Accelerators) / float64(m.totalSize.Accelerators)
			}
			b.ReportMetric(100*busy/float64(blocked), "%accelerators")
			b.ReportMetric(float64(waiting)/float64(seconds*b.N), "waiting")
			b.ReportMetric(float64(whole)/float64(seconds*b.N), "wholeWaiting")
		})
	}
}
