package member

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// publish passes the view to the other machines of this entry if it has changed.
func (m *Machine) publish(now time.Time) {
	m.refreshEndpoints(now)
	view := endive.MembersChanged{
		Self:      m.selfView(),
		Peers:     m.peerView(now),
		Endpoints: m.endpoints.view,
	}
	if m.endpoints.version == m.publishedVersion && view.Self == m.view.Self && slices.Equal(view.Peers, m.view.Peers) {
		return
	}
	m.publishedVersion = m.endpoints.version
	m.logPeerStates(view.Peers)
	m.view = view
	m.emit(endive.PublishMembers{View: view})
}

func (m *Machine) selfView() endive.Peer {
	self := m.self
	self.State = endive.MemberLive
	if m.leaving {
		self.State = endive.MemberLeaving
	}
	return self
}

func (m *Machine) peerView(now time.Time) endive.Peers {
	peers := endive.Peers{m.selfView()}
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		p.peer.State = p.state(now)
		peers = append(peers, p.peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].ID < peers[j].ID })
	return peers
}

// refreshEndpoints rebuilds the list of endpoints if it is stale.
func (m *Machine) refreshEndpoints(now time.Time) {
	if !m.endpoints.stale(now) {
		return
	}
	m.endpoints.rebuild(now, func(id string) bool {
		_, leaving := m.notices[id]
		return leaving || m.config.Drained(id)
	})
}

// logPeerStates logs each change of a peer's state.
func (m *Machine) logPeerStates(peers endive.Peers) {
	before := make(map[endive.EntryID]endive.MemberState, len(m.view.Peers))
	for _, p := range m.view.Peers {
		before[p.ID] = p.State
	}
	for _, p := range peers {
		if before[p.ID] != p.State {
			m.logDecision(string(p.ID), string(p.State), "was "+describeState(before[p.ID]))
		}
	}
}

func describeState(s endive.MemberState) string {
	if s == "" {
		return "unknown to this entry"
	}
	return string(s)
}
