package keep

import (
	"container/heap"
	"time"
)

// timer is a time at which the work on a key continues.
type timer struct {
	at  time.Time
	key string
}

// timers is a heap of the timers of all keys, the earliest first. It implements
// heap.Interface.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].key < t[j].key
	}
	return t[i].at.Before(t[j].at)
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// add adds a timer for a key.
func (t *timers) add(at time.Time, key string) { heap.Push(t, timer{at, key}) }

// popDue removes a timer that is due by now, and returns its key.
func (t *timers) popDue(now time.Time) (string, bool) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return "", false
	}
	return heap.Pop(t).(timer).key, true
}
