package member

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// publish gives the other machines a new view, where it differs from the last.
func (m *Machine) publish(now time.Time) {
	m.refreshEndpoints(now)
	view := endive.MembersChanged{
		Self:      m.selfView(),
		Peers:     m.peerView(now),
		Endpoints: m.endpoints.view,
	}
	if m.endpoints.version == m.published && view.Self == m.view.Self && slices.Equal(view.Peers, m.view.Peers) {
		return
	}
	m.published = m.endpoints.version
	m.logPeers(view.Peers)
	m.view = view
	m.act(endive.PublishMembers{View: view})
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

// refreshEndpoints makes the list of the endpoints anew, where something that it
// depends on has changed.
func (m *Machine) refreshEndpoints(now time.Time) {
	if !m.endpoints.stale(now) {
		return
	}
	m.endpoints.refresh(now, func(id string) bool {
		_, signed := m.signs[id]
		return signed || m.config.Drained(id)
	})
}

// logPeers records each change of a peer's state.
func (m *Machine) logPeers(peers endive.Peers) {
	before := make(map[endive.EntryID]endive.MemberState, len(m.view.Peers))
	for _, p := range m.view.Peers {
		before[p.ID] = p.State
	}
	for _, p := range peers {
		if before[p.ID] != p.State {
			m.decide(string(p.ID), string(p.State), "was "+orNone(before[p.ID]))
		}
	}
}

func orNone(s endive.MemberState) string {
	if s == "" {
		return "unknown to this entry"
	}
	return string(s)
}
