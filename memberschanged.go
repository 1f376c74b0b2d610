package endive

// MembersChanged is the event that the list of entries and endpoints has changed.
type MembersChanged struct {
	// Self is this entry's own state, which Peers includes too.
	Self Peer
	// Peers are all entries, including this one.
	Peers Peers
	// Endpoints are all workers and executors.
	Endpoints Endpoints
}

// IsEvent marks MembersChanged as an event.
func (MembersChanged) IsEvent() {}

// PublishMembers is the action that passes a new list of entries and endpoints to the
// other machines of this entry.
type PublishMembers struct {
	View MembersChanged
}

// IsAction marks PublishMembers as an action.
func (PublishMembers) IsAction() {}
