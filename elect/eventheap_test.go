package elect

import "time"

// simulatedEvent is something that happens at a time.
type simulatedEvent struct {
	at     time.Time
	number int
	do     func()
}

// eventHeap orders events by their time, and those of one time as they were added.
type eventHeap []simulatedEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].number < h[j].number
	}
	return h[i].at.Before(h[j].at)
}
func (h *eventHeap) Push(event any) { *h = append(*h, event.(simulatedEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}
