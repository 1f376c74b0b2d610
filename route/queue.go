package route

import (
	"container/heap"
	"time"
)

// queue holds the waiting executions, sorted by deadline and then by arrival.
type queue struct {
	heap executionHeap
}

// len returns the number of waiting executions.
func (q *queue) len() int { return len(q.heap) }

func (q *queue) push(e *execution) { heap.Push(&q.heap, e) }

// remove removes an execution if it is queued.
func (q *queue) remove(e *execution) {
	if e.index >= 0 {
		heap.Remove(&q.heap, e.index)
	}
}

// oldest returns the arrival time of the execution with the earliest deadline,
// or zero if the queue is empty.
func (q *queue) oldest() time.Time {
	if len(q.heap) == 0 {
		return time.Time{}
	}
	return q.heap[0].arrived
}

// executionHeap implements heap.Interface.
type executionHeap []*execution

func (h executionHeap) Len() int { return len(h) }

func (h executionHeap) Less(i, j int) bool {
	if !h[i].deadline.Equal(h[j].deadline) {
		return h[i].deadline.Before(h[j].deadline)
	}
	return h[i].seq < h[j].seq
}

func (h executionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *executionHeap) Push(x any) {
	e := x.(*execution)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *executionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	last.index = -1
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
