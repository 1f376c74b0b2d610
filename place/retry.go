package place

import (
	"container/heap"
	"time"
)

// delayedTask is a task that waits for the end of its backoff.
type delayedTask struct {
	at    time.Time
	job   *job
	index int
}

// retryHeap is a heap of delayed tasks, ordered by the time of the retry.
type retryHeap []delayedTask

// Len implements heap.Interface.
func (d retryHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d retryHeap) Less(i, k int) bool { return d[i].at.Before(d[k].at) }

// Swap implements heap.Interface.
func (d retryHeap) Swap(i, k int) { d[i], d[k] = d[k], d[i] }

// Push implements heap.Interface.
func (d *retryHeap) Push(x any) { *d = append(*d, x.(delayedTask)) }

// Pop implements heap.Interface.
func (d *retryHeap) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// retryLater schedules the retry of a task after a backoff that doubles with
// each failure.
func (m *Machine) retryLater(j *job, index, fails int) {
	backoff := firstBackoff
	for i := 1; i < fails && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	if j.delayed == nil {
		j.delayed = make(map[int]bool)
	}
	j.delayed[index] = true
	heap.Push(&m.delayed, delayedTask{at: m.now.Add(min(backoff, maxBackoff)), job: j, index: index})
}

// enqueueDueRetries queues the tasks whose backoff is over.
func (m *Machine) enqueueDueRetries() {
	for len(m.delayed) > 0 && !m.now.Before(m.delayed[0].at) {
		r := heap.Pop(&m.delayed).(delayedTask)
		delete(r.job.delayed, r.index)
		if r.job.ended || r.job.cancelled {
			continue
		}
		r.job.requeued = append(r.job.requeued, r.index)
		m.enqueue(r.job)
	}
}
