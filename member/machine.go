package member

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// Machine maintains one entry's view of the members. It implements endive.Machine.
type Machine struct {
	settings  Settings
	self      endive.Peer
	leaving   bool
	config    endive.Config
	peers     map[endive.EntryID]*peerState
	endpoints *endpointSet
	notices   map[string]leaveNotice
	// loads are the load figures for the next heartbeats. They are empty once sent.
	loads LoadsChanged
	// newestRevision is the newest configuration revision that a peer has reported.
	newestRevision endive.Revision

	sequence      uint64
	nextHeartbeat time.Time
	// nextNotices is when heartbeats next repeat the leave notices.
	nextNotices  time.Time
	nextList     time.Time
	listPending  bool
	listDeadline time.Time
	wakeAt       time.Time
	view         endive.MembersChanged
	// publishedVersion is the version of the endpoints that were last published.
	publishedVersion uint64
	actions          []endive.Action
}

// New returns the machine of the entry self. The seeds are the peers named in its settings.
func New(self endive.Peer, seeds endive.Peers, settings Settings) *Machine {
	settings.Defaults()
	m := &Machine{
		settings:  settings,
		self:      self,
		peers:     make(map[endive.EntryID]*peerState),
		endpoints: newEndpointSet(),
		notices:   make(map[string]leaveNotice),
	}
	for _, p := range seeds {
		if p.ID != self.ID {
			m.peers[p.ID] = &peerState{peer: p, seed: true}
		}
	}
	return m
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.actions = nil
	m.detectPause(now)
	switch e := event.(type) {
	case endive.Received:
		m.handleReceived(now, e)
	case InstancesListed:
		m.handleListed(now, e)
	case EndpointLeaving:
		m.addNotice(now, e.Endpoint, 0)
	case endive.ConfigChanged:
		m.config = e.Config
		m.endpoints.dirty = true
		m.self.ConfigRevision = e.Config.Revision
	case ReadyChanged:
		m.self.Ready = e.Ready
	case LoadsChanged:
		m.loads = e
	case Leave:
		m.leave()
	}
	m.tick(now)
	return m.actions
}

// leave marks this entry as leaving and notifies all peers at once.
func (m *Machine) leave() {
	m.leaving = true
	m.nextHeartbeat = time.Time{}
}

// detectPause marks all peers as unconfirmed after this process was paused, because their
// last heartbeats may be outdated. A peer is live again once it echoes a newer heartbeat.
func (m *Machine) detectPause(now time.Time) {
	if m.wakeAt.IsZero() || now.Before(m.wakeAt.Add(maxWakeDelay)) {
		return
	}
	m.logDecision(string(m.self.ID), "recheck", "this process was paused")
	for _, p := range m.peers {
		p.confirmed = false
		p.minEcho = m.sequence + 1
	}
	m.nextHeartbeat = time.Time{}
	m.nextList = time.Time{}
}

func (m *Machine) handleReceived(now time.Time, r endive.Received) {
	heartbeat, ok := r.Message.(*wire.Heartbeat)
	if !ok || r.From == m.self.ID {
		return
	}
	p := m.peers[r.From]
	if p == nil {
		p = &peerState{peer: endive.Peer{ID: r.From}}
		m.peers[r.From] = p
	}
	if !p.applyHeartbeat(now, m.sequence, r.Incarnation, heartbeat) {
		return
	}
	m.newestRevision = max(m.newestRevision, endive.Revision(heartbeat.GetKnownRevision()))
	for _, s := range heartbeat.GetLeavingEndpoints() {
		m.addNotice(now, s.GetEndpoint(), time.Duration(s.GetAgeMs())*time.Millisecond)
	}
}

// addNotice records that an endpoint is leaving. Notices keep their age when peers forward
// them, so that they expire.
func (m *Machine) addNotice(now time.Time, endpoint string, age time.Duration) {
	if age >= noticeLifetime {
		return
	}
	if _, ok := m.notices[endpoint]; ok {
		return
	}
	announcedAt := now.Add(-age)
	m.endpoints.dirty = true
	m.notices[endpoint] = leaveNotice{announcedAt: announcedAt, expiresAt: announcedAt.Add(noticeLifetime)}
	m.logDecision(endpoint, string(endive.MemberLeaving), "the endpoint or a peer sent a leave notice")
	// Forward the notice at once, not with the next regular heartbeat.
	m.nextHeartbeat = time.Time{}
	m.nextNotices = time.Time{}
}

func (m *Machine) handleListed(now time.Time, l InstancesListed) {
	m.listPending = false
	if l.Unavailable {
		// Keep the last view: an unavailable list doesn't mean that endpoints are gone.
		return
	}
	for _, p := range m.peers {
		p.listed = false
	}
	m.endpoints.applyList(now, l.Instances)
	for _, instance := range l.Instances {
		if instance.Kind == endive.KindEntry {
			m.applyListedEntry(now, instance)
		}
	}
}

// applyListedEntry updates a peer with its row of the instance list.
func (m *Machine) applyListedEntry(now time.Time, instance endive.Instance) {
	id := endive.EntryID(instance.ID)
	if id == m.self.ID {
		return
	}
	p := m.peers[id]
	if p == nil {
		p = &peerState{removeAt: now.Add(removeAfter)}
		m.peers[id] = p
	}
	p.listed = true
	p.peer.ID = id
	p.peer.Address = instance.Address
	p.peer.Region = instance.Region
	p.peer.Zone = instance.Zone
}

// tick expires old state, sends heartbeats and reads the instance list if that is due,
// publishes the view, and requests the next wake-up.
func (m *Machine) tick(now time.Time) {
	m.expire(now)
	if !now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = m.settings.Heartbeat.After(now)
		m.sendHeartbeats(now)
	}
	if m.listPending && !now.Before(m.listDeadline) {
		m.listPending = false
	}
	if !m.listPending && !now.Before(m.nextList) {
		m.listPending = true
		m.nextList = m.settings.List.After(now)
		m.listDeadline = now.Add(listTimeout)
		m.emit(ListInstances{})
	}
	m.publish(now)
	m.wakeAt = m.nextHeartbeat
	m.emit(endive.SetWake{At: m.wakeAt})
}

// expire removes expired leave notices and peers.
func (m *Machine) expire(now time.Time) {
	for id, s := range m.notices {
		if !now.Before(s.expiresAt) {
			delete(m.notices, id)
			m.endpoints.dirty = true
		}
	}
	for id, p := range m.peers {
		if !p.seed && !p.listed && !now.Before(p.removeAt) {
			delete(m.peers, id)
		}
	}
}

// sendHeartbeats sends a heartbeat to each peer.
func (m *Machine) sendHeartbeats(now time.Time) {
	m.sequence++
	var notices []*wire.EndpointSign
	if !now.Before(m.nextNotices) {
		m.nextNotices = now.Add(noticeInterval)
		notices = m.noticeList(now)
	}
	for _, id := range m.peerIDs() {
		m.emit(endive.Send{To: id, Message: &wire.Heartbeat{
			Sequence:         m.sequence,
			ConfigRevision:   uint64(m.config.Revision),
			KnownRevision:    uint64(max(m.newestRevision, m.config.Revision)),
			Leaving:          m.leaving,
			Ready:            m.self.Ready,
			Region:           string(m.self.Region),
			Zone:             string(m.self.Zone),
			LeavingEndpoints: notices,
			Slices:           m.loads.Slices,
			Services:         m.loads.Services,
			Echo:             m.peers[id].sequence,
		}})
	}
	m.loads = LoadsChanged{}
}

// noticeList returns the newest leave notices, at most maxNotices.
func (m *Machine) noticeList(now time.Time) []*wire.EndpointSign {
	ids := make([]string, 0, len(m.notices))
	for id := range m.notices {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := m.notices[ids[i]].announcedAt, m.notices[ids[j]].announcedAt
		if a.Equal(b) {
			return ids[i] < ids[j]
		}
		return a.After(b)
	})
	ids = ids[:min(len(ids), maxNotices)]
	notices := make([]*wire.EndpointSign, 0, len(ids))
	for _, id := range ids {
		notices = append(notices, &wire.EndpointSign{
			Endpoint: id,
			AgeMs:    uint64(now.Sub(m.notices[id].announcedAt).Milliseconds()),
		})
	}
	return notices
}

func (m *Machine) peerIDs() []endive.EntryID {
	ids := make([]endive.EntryID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (m *Machine) emit(a endive.Action) { m.actions = append(m.actions, a) }

func (m *Machine) logDecision(subject, choice, reason string) {
	m.emit(endive.Decision{Kind: endive.DecisionMember, Subject: subject, Choice: choice, Reason: reason})
}
