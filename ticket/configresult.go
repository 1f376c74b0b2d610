package ticket

import "endiveroute.example/endive"

// ConfigResult is the action that returns the result of a ShowConfig.
type ConfigResult struct {
	Tag    Tag
	Config endive.Config
	// Newest is the highest number of a ticket that last set one of the resources.
	Newest endive.TicketNumber
	// Entries are all known entries, including this one, sorted by ID.
	Entries []EntryRevision
	// Pending are the tickets written by this entry that aren't in force on every
	// entry yet, in the order of their submission.
	Pending []endive.TicketNumber
}

// IsAction marks ConfigResult as an action.
func (ConfigResult) IsAction() {}
