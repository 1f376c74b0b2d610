package fakes

import (
	"container/heap"
	"time"
)

// Timers are functions that are due at times of simulated time. Those of one time are due in the order in which they were
// added. The zero value has none.
type Timers struct {
	queue    timerQueue
	sequence uint64
}

// Add adds a function that is due at a time.
func (t *Timers) Add(at time.Time, run func()) {
	t.sequence++
	heap.Push(&t.queue, &timer{at: at, sequence: t.sequence, run: run})
}

// Next removes the first function that is due by end, and returns it with its time. ok is false if none is.
func (t *Timers) Next(end time.Time) (at time.Time, run func(), ok bool) {
	if len(t.queue) == 0 || t.queue[0].at.After(end) {
		return time.Time{}, nil, false
	}
	next := heap.Pop(&t.queue).(*timer)
	return next.at, next.run, true
}

// timer is a function scheduled for a time. Timers with equal times run in the order of
// their sequence numbers.
type timer struct {
	at       time.Time
	sequence uint64
	run      func()
}

// timerQueue is a heap of timers, the earliest first. It implements heap.Interface.
type timerQueue []*timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(*timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
