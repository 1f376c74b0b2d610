package lease

import (
	"time"

	"endiveroute.example/endive"
)

// HandOver is the event of a planned stop: each slice goes to a successor, and
// none is taken any more.
type HandOver struct {
	// Deadline is when the hand-over is given up.
	Deadline time.Time
}

// IsEvent marks HandOver as an event.
func (HandOver) IsEvent() {}

// Released is the event that tells that the holder machine of a slice got the
// LeaseChanged that ended its lease, and that no command of it is on its way any
// more.
type Released struct {
	Slice endive.SliceID
}

// IsEvent marks Released as an event.
func (Released) IsEvent() {}

// HandedOver is the action of saying that this entry holds no slice any more, or
// that the deadline of the hand-over has come.
type HandedOver struct {
	// Remaining are the slices that no successor took; others take them over after
	// the lease has run out.
	Remaining []endive.SliceID
}

// IsAction marks HandedOver as an action.
func (HandedOver) IsAction() {}
