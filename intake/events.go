package intake

import "endiveroute.example/endive"

// Tag is chosen by the sender of an event and comes back in the answer.
type Tag uint64

// Submit is the event of a submitted job.
type Submit struct {
	Tag Tag
	Job endive.Job
}

// IsEvent marks Submit as an event.
func (Submit) IsEvent() {}

// Cancel is the event of an operator who cancels a job.
type Cancel struct {
	Tag Tag
	Job endive.JobID
}

// IsEvent marks Cancel as an event.
func (Cancel) IsEvent() {}

// HoldersChanged is the event of newly known holders of slices. It replaces what
// was known before.
type HoldersChanged struct {
	Holders map[endive.SliceID]endive.EntryID
}

// IsEvent marks HoldersChanged as an event.
func (HoldersChanged) IsEvent() {}

// LoadReceived is the event of a slice's load, as its holder told it.
type LoadReceived struct {
	Slice  endive.SliceID
	Queued int
	Free   endive.Resources
}

// IsEvent marks LoadHeard as an event.
func (LoadReceived) IsEvent() {}
