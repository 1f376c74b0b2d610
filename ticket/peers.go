package ticket

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// requestState requests the configuration from a few peers, in rotation. It prefers
// ready peers that are live, and otherwise uses all that aren't gone.
func (m *Machine) requestState(now time.Time) []endive.Action {
	peers := m.otherEntries(func(p endive.Peer) bool { return p.State == endive.MemberLive && p.Ready })
	if len(peers) == 0 {
		peers = m.otherEntries(func(p endive.Peer) bool { return p.State != endive.MemberGone })
	}
	var actions []endive.Action
	for i := 0; i < min(stateRequestsPerPoll, len(peers)); i++ {
		m.stateRequests.nextPeer++
		actions = append(actions, endive.Send{
			To:      peers[m.stateRequests.nextPeer%len(peers)],
			Message: &wire.StateAsk{Sequence: m.stateRequests.add(now), Grant: !m.registration.registered},
		})
	}
	return actions
}

// otherEntries returns the IDs of the other entries that match, in the order of the
// members.
func (m *Machine) otherEntries(match func(endive.Peer) bool) []endive.EntryID {
	var ids []endive.EntryID
	for _, p := range m.members.Peers {
		if p.ID != m.self && match(p) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// handleStateAsk sends the configuration to a peer. Only a registered entry
// that serves clients does so, because tickets wait for a registered entry's
// confirmation. If the peer needs a grant, the grant is recorded, and no later
// revision is confirmed before the grant ends.
func (m *Machine) handleStateAsk(now time.Time, from endive.EntryID, request *wire.StateAsk) []endive.Action {
	if !m.Ready(now) || !m.registration.registered {
		return nil
	}
	if request.GetGrant() {
		m.grants.add(m.known.completeRevision(), (m.settings.GrantDuration + m.settings.ClockMargin).After(now))
	}
	return []endive.Action{endive.Send{To: from, Message: &wire.StateAnswer{
		Revision: uint64(m.known.completeRevision()),
		Rows:     m.known.wireRows(m.known.keys()),
		Sequence: request.GetSequence(),
		Granted:  request.GetGrant(),
	}}}
}

// handleStateAnswer applies a peer's configuration, which counts as current at the
// time of the request.
func (m *Machine) handleStateAnswer(answer *wire.StateAnswer) {
	sent, ok := m.stateRequests.remove(answer.GetSequence())
	if !ok || !m.mergeRows(answer.GetRows()) {
		return
	}
	m.known.markComplete(endive.Revision(answer.GetRevision()))
	switch {
	case m.registration.registered:
		m.registration.extend(sent, m.settings.ContactTimeout)
	case answer.GetGranted():
		m.registration.extend(sent, m.settings.GrantDuration)
	}
}

// mergeRows merges rows received from a peer. It reports whether all could be decoded.
func (m *Machine) mergeRows(rows []*wire.ConfigRow) bool {
	complete := true
	for _, row := range rows {
		key := endive.ResourceKey(row.GetKey())
		c, err := decodeConfigured(key, row.GetValue())
		if err != nil {
			complete = false
			continue
		}
		m.known.merge(key, configRow{ConfiguredResource: c, Revision: endive.Revision(row.GetRevision())})
	}
	return complete
}

// sendNotices sends a written ticket to the given entries.
func (m *Machine) sendNotices(r *rollout, to []endive.EntryID) []endive.Action {
	keys := make([]endive.ResourceKey, 0, len(r.resources))
	for _, res := range r.resources {
		keys = append(keys, res.key)
	}
	message := &wire.TicketNotice{
		Number:   uint64(r.ticket.Number),
		Revision: uint64(r.revision),
		Rows:     m.known.wireRows(keys),
	}
	actions := make([]endive.Action, 0, len(to))
	for _, entry := range to {
		actions = append(actions, endive.Send{To: entry, Message: message})
	}
	return actions
}

// resendNotices repeats the notices of written tickets to live entries that haven't
// confirmed them, because messages can be lost.
func (m *Machine) resendNotices() []endive.Action {
	var actions []endive.Action
	for _, r := range m.rollouts {
		if r.phase != phaseWritten {
			continue
		}
		actions = append(actions, m.sendNotices(r, m.otherEntries(func(p endive.Peer) bool {
			return p.State == endive.MemberLive && m.confirmed[p.ID].revision < r.revision
		}))...)
	}
	return actions
}
