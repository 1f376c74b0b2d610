package member

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// Machine keeps the view of one entry. It is an endive.Machine.
type Machine struct {
	settings  Settings
	self      endive.Peer
	leaving   bool
	config    endive.Config
	peers     map[endive.EntryID]*peerState
	endpoints *endpointSet
	signs     map[string]sign
	// loads are what the next heartbeats carry; empty once they were sent.
	loads LoadsChanged
	known endive.Revision

	sequence uint64
	nextBeat time.Time
	// nextSigns is when heartbeats repeat the signs.
	nextSigns time.Time
	nextList  time.Time
	listing   bool
	listUntil time.Time
	wakeAt    time.Time
	view      endive.MembersChanged
	// published is the version of the endpoints in view.
	published uint64
	actions   []endive.Action
}

// New returns the machine of the entry self. The seeds are the peers that its
// settings name.
func New(self endive.Peer, seeds endive.Peers, settings Settings) *Machine {
	settings.Defaults()
	m := &Machine{
		settings:  settings,
		self:      self,
		peers:     make(map[endive.EntryID]*peerState),
		endpoints: newEndpointSet(),
		signs:     make(map[string]sign),
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
	m.notePause(now)
	switch e := event.(type) {
	case endive.Received:
		m.receive(now, e)
	case InstancesListed:
		m.takeList(now, e)
	case EndpointLeaving:
		m.addSign(now, e.Endpoint, 0)
	case endive.ConfigChanged:
		m.config = e.Config
		m.endpoints.changed = true
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

// leave says at once to all peers that this entry is leaving.
func (m *Machine) leave() {
	m.leaving = true
	m.nextBeat = time.Time{}
}

// notePause makes each peer prove itself after this process was paused: what it
// heard before may be long out of date.
func (m *Machine) notePause(now time.Time) {
	if m.wakeAt.IsZero() || now.Before(m.wakeAt.Add(pauseAfter)) {
		return
	}
	m.decide(string(m.self.ID), "recheck", "this process was paused")
	for _, p := range m.peers {
		p.heard = false
		p.proveAfter = m.sequence + 1
	}
	m.nextBeat = time.Time{}
	m.nextList = time.Time{}
}

func (m *Machine) receive(now time.Time, r endive.Received) {
	beat, ok := r.Message.(*wire.Heartbeat)
	if !ok || r.From == m.self.ID {
		return
	}
	p := m.peers[r.From]
	if p == nil {
		p = &peerState{peer: endive.Peer{ID: r.From}}
		m.peers[r.From] = p
	}
	if !p.hear(now, m.sequence, r.Incarnation, beat) {
		return
	}
	m.known = max(m.known, endive.Revision(beat.GetKnownRevision()))
	for _, s := range beat.GetLeavingEndpoints() {
		m.addSign(now, s.GetEndpoint(), time.Duration(s.GetAgeMs())*time.Millisecond)
	}
}

// addSign notes that an endpoint is leaving. Signs that peers pass around keep
// their age, so that they end.
func (m *Machine) addSign(now time.Time, endpoint string, age time.Duration) {
	if age >= signLifetime {
		return
	}
	if _, ok := m.signs[endpoint]; ok {
		return
	}
	seen := now.Add(-age)
	m.endpoints.changed = true
	m.signs[endpoint] = sign{seen: seen, until: seen.Add(signLifetime)}
	m.decide(endpoint, string(endive.MemberLeaving), "it, or a peer that heard it, said so")
	// Peers hear of it at once, not with the next period.
	m.nextBeat = time.Time{}
	m.nextSigns = time.Time{}
}

func (m *Machine) takeList(now time.Time, l InstancesListed) {
	m.listing = false
	if l.Unavailable {
		// The last view stays in use: a list that is down says nothing of the
		// endpoints.
		return
	}
	for _, p := range m.peers {
		p.listed = false
	}
	m.endpoints.list(now, l.Instances)
	for _, instance := range l.Instances {
		if instance.Kind == endive.KindEntry {
			m.listPeer(now, instance)
		}
	}
}

// listPeer takes in an entry of the instance list.
func (m *Machine) listPeer(now time.Time, instance endive.Instance) {
	id := endive.EntryID(instance.ID)
	if id == m.self.ID {
		return
	}
	p := m.peers[id]
	if p == nil {
		p = &peerState{forgetAt: now.Add(forgetAfter)}
		m.peers[id] = p
	}
	p.listed = true
	p.peer.ID = id
	p.peer.Address = instance.Address
	p.peer.Region = instance.Region
	p.peer.Zone = instance.Zone
}

// tick does what has become due, and asks for the next wake-up.
func (m *Machine) tick(now time.Time) {
	m.expire(now)
	if !now.Before(m.nextBeat) {
		m.nextBeat = m.settings.Heartbeat.After(now)
		m.beat(now)
	}
	if m.listing && !now.Before(m.listUntil) {
		m.listing = false
	}
	if !m.listing && !now.Before(m.nextList) {
		m.listing = true
		m.nextList = m.settings.List.After(now)
		m.listUntil = now.Add(listTimeout)
		m.act(ListInstances{})
	}
	m.publish(now)
	m.wakeAt = m.nextBeat
	m.act(endive.SetWake{At: m.wakeAt})
}

// expire forgets signs, endpoints and peers whose time is over.
func (m *Machine) expire(now time.Time) {
	for id, s := range m.signs {
		if !now.Before(s.until) {
			delete(m.signs, id)
			m.endpoints.changed = true
		}
	}
	for id, p := range m.peers {
		if !p.seed && !p.listed && !now.Before(p.forgetAt) {
			delete(m.peers, id)
		}
	}
}

// beat sends a heartbeat to each peer.
func (m *Machine) beat(now time.Time) {
	m.sequence++
	var signs []*wire.EndpointSign
	if !now.Before(m.nextSigns) {
		m.nextSigns = now.Add(signPeriod)
		signs = m.signList(now)
	}
	for _, id := range m.peerIDs() {
		m.act(endive.Send{To: id, Message: &wire.Heartbeat{
			Sequence:         m.sequence,
			ConfigRevision:   uint64(m.config.Revision),
			KnownRevision:    uint64(max(m.known, m.config.Revision)),
			Leaving:          m.leaving,
			Ready:            m.self.Ready,
			Region:           string(m.self.Region),
			Zone:             string(m.self.Zone),
			LeavingEndpoints: signs,
			Slices:           m.loads.Slices,
			Services:         m.loads.Services,
			Echo:             m.peers[id].sequence,
		}})
	}
	m.loads = LoadsChanged{}
}

// signList returns the newest signs that still count.
func (m *Machine) signList(now time.Time) []*wire.EndpointSign {
	ids := make([]string, 0, len(m.signs))
	for id := range m.signs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := m.signs[ids[i]].seen, m.signs[ids[j]].seen
		if a.Equal(b) {
			return ids[i] < ids[j]
		}
		return a.After(b)
	})
	ids = ids[:min(len(ids), maxSigns)]
	signs := make([]*wire.EndpointSign, 0, len(ids))
	for _, id := range ids {
		signs = append(signs, &wire.EndpointSign{
			Endpoint: id,
			AgeMs:    uint64(now.Sub(m.signs[id].seen).Milliseconds()),
		})
	}
	return signs
}

func (m *Machine) peerIDs() []endive.EntryID {
	ids := make([]endive.EntryID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (m *Machine) act(a endive.Action) { m.actions = append(m.actions, a) }

func (m *Machine) decide(subject, choice, reason string) {
	m.act(endive.Decision{Kind: endive.DecisionMember, Subject: subject, Choice: choice, Reason: reason})
}
