package route

import (
	"container/heap"
	"slices"
	"time"

	"endiveroute.example/endive"
)

// timerKind says what is due at a time.
type timerKind int

const (
	// timerClientDeadline is the deadline of a caller.
	timerClientDeadline timerKind = iota
	// timerSilence is when an attempt without a reply is looked at.
	timerSilence
	// timerAttemptEnd is when the slot of an attempt is given back in any case.
	timerAttemptEnd
	// timerSlotRelease is when the slot of a failed attempt is given back.
	timerSlotRelease
)

// timer is something due at a time. Its subject may be over by then.
type timer struct {
	at       time.Time
	seq      uint64
	kind     timerKind
	request  endive.RequestID
	attempt  endive.AttemptID
	executor endive.ExecutorID
	service  endive.ServiceName
	// started is when the slot that cools was taken.
	started time.Time
}

// timers is a heap of timers, the earliest first and equal ones in order of
// their making.
type timers struct {
	heap timerHeap
	seq  uint64
	// compactAbove is the number above which timers of what is over are dropped.
	compactAbove int
}

// set adds t.
func (ts *timers) set(t timer) {
	ts.seq++
	t.seq = ts.seq
	heap.Push(&ts.heap, t)
}

// next returns the time of the earliest timer, or zero.
func (ts *timers) next() time.Time {
	if len(ts.heap) == 0 {
		return time.Time{}
	}
	return ts.heap[0].at
}

// pop removes and returns the earliest timer, if it is due.
func (ts *timers) pop(now time.Time) (timer, bool) {
	if len(ts.heap) == 0 || ts.heap[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(&ts.heap).(timer), true
}

// minCompact is how many timers may be held before those of what is over are
// dropped.
const minCompact = 1024

// compact removes the timers that aren't live, if there are many.
func (ts *timers) compact(live func(timer) bool) {
	if len(ts.heap) < max(ts.compactAbove, minCompact) {
		return
	}
	ts.heap = slices.DeleteFunc(ts.heap, func(t timer) bool { return !live(t) })
	heap.Init(&ts.heap)
	ts.compactAbove = 2 * len(ts.heap)
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
