package fakes

import "time"

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
