package place

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// rowsWritten returns the number of row writes that the table has applied.
func rowsWritten(c *cluster) int {
	n := 0
	for _, row := range c.table.rows {
		n += int(row.Version)
	}
	return n
}

// BenchmarkWrites measures the transactions and rows that the holder of a full
// slice of 128 workers writes per second, for jobs of 1 and of 100 tasks.
func BenchmarkWrites(b *testing.B) {
	for _, tasks := range []int{1, 100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c, e, s := benchCluster(128, 0, BestFit{})
			for i := range 200000 / tasks {
				j := benchJob(i)
				j.Tasks = tasks
				e.machine.admit(&job{Job: j}, false)
			}
			c.run(20 * time.Second)
			s.placed = 0
			transactions, written := c.table.revision, rowsWritten(c)
			b.ResetTimer()
			for range b.N {
				c.run(time.Second)
			}
			b.ReportMetric(float64(s.placed)/float64(b.N), "starts/s")
			b.ReportMetric(float64(c.table.revision-transactions)/float64(b.N), "transactions/s")
			b.ReportMetric(float64(rowsWritten(c)-written)/float64(b.N), "rows/s")
		})
	}
}

// heapInUse returns the allocated heap bytes after a garbage collection.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkSliceMemory measures the memory per worker and per running task. It
// includes the memory of the fake workers.
func BenchmarkSliceMemory(b *testing.B) {
	for range b.N {
		before := heapInUse()
		c, e, s := benchCluster(690, 0, BestFit{})
		idle := heapInUse()
		for i := range 5000 {
			j := benchJob(i)
			j.RunTime = endive.Interval(time.Hour)
			e.machine.admit(&job{Job: j}, false)
		}
		for _, w := range c.workers {
			w.plan = func(endive.StartTask) (time.Duration, endive.TaskState) { return time.Hour, endive.TaskSucceeded }
		}
		c.run(10 * time.Second)
		running := 0
		for _, w := range e.machine.workers.list {
			running += len(w.attempts)
		}
		full := heapInUse()
		b.ReportMetric(float64(idle-before)/690, "B/worker")
		b.ReportMetric(float64(full-idle)/float64(running), "B/running")
		b.ReportMetric(float64(running), "running")
		runtime.KeepAlive(s)
		runtime.KeepAlive(c)
		runtime.KeepAlive(e)
	}
}
