package intake

import "endiveroute.example/endive"

// Tag is an identifier that the sender of an event chooses. The answer carries
// it.
type Tag uint64

// Submit is the event of a job submission.
type Submit struct {
	Tag Tag
	Job endive.Job
}

// IsEvent marks Submit as an event.
func (Submit) IsEvent() {}

// Cancel is the event of an operator's cancellation of a job.
type Cancel struct {
	Tag Tag
	Job endive.JobID
}

// IsEvent marks Cancel as an event.
func (Cancel) IsEvent() {}

// HoldersChanged is the event of a change of slice holders. It has all known
// holders and replaces the previous ones.
type HoldersChanged struct {
	Holders map[endive.SliceID]endive.EntryID
}

// IsEvent marks HoldersChanged as an event.
func (HoldersChanged) IsEvent() {}

// LoadReceived is the event of a load report of a slice from its holder.
type LoadReceived struct {
	Slice  endive.SliceID
	Queued int
	Free   endive.Resources
}

// IsEvent marks LoadReceived as an event.
func (LoadReceived) IsEvent() {}
