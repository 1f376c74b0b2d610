package lease

import (
	"time"

	"endiveroute.example/endive"
)

// HandOver is the event that a planned stop begins: the entry hands each of its slices over
// to a successor and acquires no more.
type HandOver struct {
	// Deadline is when the entry stops waiting for slices that aren't handed over yet.
	Deadline time.Time
}

// IsEvent marks HandOver as an event.
func (HandOver) IsEvent() {}

// Released is the event that the state machine of a slice has received the LeaseChanged that
// ended its lease, and has no command in flight any more.
type Released struct {
	Slice endive.SliceID
}

// IsEvent marks Released as an event.
func (Released) IsEvent() {}

// HandedOver is the action that reports the end of the hand-over: this entry holds no slice
// any more, or the deadline has passed.
type HandedOver struct {
	// Remaining are the slices that no successor has accepted. Other entries acquire them
	// after the lease has expired.
	Remaining []endive.SliceID
}

// IsAction marks HandedOver as an action.
func (HandedOver) IsAction() {}
