package ticket

import "endiveroute.example/endive"

// ConfigResult is the action of answering a Show.
type ConfigResult struct {
	Tag    Tag
	Config endive.Config
	// Newest is the highest ticket among the resources.
	Newest endive.TicketNumber
	// Entries are the other entries and this one, in the order of their ids.
	Entries []EntryRevision
	// Pending are the tickets that this entry has written and that aren't in
	// force on every entry yet, in their order.
	Pending []endive.TicketNumber
}

// IsAction marks Shown as an action.
func (ConfigResult) IsAction() {}
