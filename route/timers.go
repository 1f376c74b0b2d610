package route

import (
	"container/heap"
	"slices"
	"time"

	"endiveroute.example/endive"
)

// timerKind is the kind of action that a timer triggers.
type timerKind int

const (
	// timerClientDeadline fires at a client's deadline.
	timerClientDeadline timerKind = iota
	// timerSilence fires when an attempt without a reply is checked.
	timerSilence
	// timerAttemptEnd fires when an attempt without a result is ended.
	timerAttemptEnd
	// timerSlotRelease fires when the slot of an ended attempt is released.
	timerSlotRelease
)

// timer is a scheduled action. The request or attempt that the timer is for may
// have ended when the timer fires.
type timer struct {
	at       time.Time
	seq      uint64
	kind     timerKind
	request  endive.RequestID
	attempt  endive.AttemptID
	executor endive.ExecutorID
	service  endive.ServiceName
	// started is when the attempt that holds the slot was started.
	started time.Time
}

// timers is a heap of timers, sorted by time and then by creation.
type timers struct {
	heap timerHeap
	seq  uint64
	// compactAbove is the number of timers above which compact removes obsolete
	// ones.
	compactAbove int
}

// set adds a timer.
func (ts *timers) set(t timer) {
	ts.seq++
	t.seq = ts.seq
	heap.Push(&ts.heap, t)
}

// next returns the time of the earliest timer, or zero if there is none.
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

// minCompact is the minimum number of timers before obsolete ones are removed.
const minCompact = 1024

// compact removes the obsolete timers if there are many timers.
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
