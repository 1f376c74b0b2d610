package endive

// Peer is the state of an entry, as known to another entry or to itself.
type Peer struct {
	ID          EntryID
	Incarnation Incarnation
	Address     Address
	Region      Region
	Zone        Zone
	State       MemberState
	// Ready is true if the peer accepts requests from clients.
	Ready bool
	// ConfigRevision is the revision of the peer's active configuration.
	ConfigRevision Revision
}

// Peers is a list of entries, sorted by id.
type Peers []Peer

// Live returns the peers in state MemberLive.
func (p Peers) Live() Peers {
	live := make(Peers, 0, len(p))
	for _, peer := range p {
		if peer.State == MemberLive {
			live = append(live, peer)
		}
	}
	return live
}
