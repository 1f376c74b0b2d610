package endive

// MembersChanged is the event of a new view of the entries and endpoints.
type MembersChanged struct {
	// Self is this entry.
	Self Peer
	// Peers are all entries, this one included.
	Peers Peers
	// Endpoints are all workers and executors.
	Endpoints Endpoints
}

// IsEvent marks MembersChanged as an event.
func (MembersChanged) IsEvent() {}

// PublishMembers is the action of giving a new view to the other machines.
type PublishMembers struct {
	View MembersChanged
}

// IsAction marks PublishMembers as an action.
func (PublishMembers) IsAction() {}
