package ticket

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// requestState asks some peers for their state: the next ones in turn among those
// that are live, or among all that aren't gone where none is.
func (m *Machine) requestState(now time.Time) []endive.Action {
	peers := m.otherEntries(func(p endive.Peer) bool { return p.State == endive.MemberLive && p.Ready })
	if len(peers) == 0 {
		peers = m.otherEntries(func(p endive.Peer) bool { return p.State != endive.MemberGone })
	}
	var actions []endive.Action
	for i := 0; i < min(stateRequestsPerPoll, len(peers)); i++ {
		m.stateRequests.rotation++
		actions = append(actions, endive.Send{
			To:      peers[m.stateRequests.rotation%len(peers)],
			Message: &wire.StateAsk{Sequence: m.stateRequests.add(now), Grant: !m.registration.registered},
		})
	}
	return actions
}

// otherEntries returns the other entries that a test holds for, in order.
func (m *Machine) otherEntries(match func(endive.Peer) bool) []endive.EntryID {
	var ids []endive.EntryID
	for _, p := range m.members.Peers {
		if p.ID != m.self && match(p) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// handleStateAsk gives a peer the state. Only a registered entry that answers
// callers does: its state is accounted for. A grant is remembered, as no later
// revision may be confirmed before its end.
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

// handleStateAnswer takes over a peer's state. It holds from the moment that it was
// asked for.
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

// mergeRows takes over rows from a peer. It reports whether all could be
// read.
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

// sendNotices tells the other entries of a ticket that was written.
func (m *Machine) sendNotices(c *rollout, to []endive.EntryID) []endive.Action {
	keys := make([]endive.ResourceKey, 0, len(c.resources))
	for _, r := range c.resources {
		keys = append(keys, r.key)
	}
	message := &wire.TicketNotice{
		Number:   uint64(c.ticket.Number),
		Revision: uint64(c.revision),
		Rows:     m.known.wireRows(keys),
	}
	actions := make([]endive.Action, 0, len(to))
	for _, entry := range to {
		actions = append(actions, endive.Send{To: entry, Message: message})
	}
	return actions
}

// resendNotices repeats the notices of tickets to the entries that haven't
// confirmed them: messages get lost.
func (m *Machine) resendNotices() []endive.Action {
	var actions []endive.Action
	for _, c := range m.rollouts {
		if c.phase != phaseWritten {
			continue
		}
		actions = append(actions, m.sendNotices(c, m.otherEntries(func(p endive.Peer) bool {
			return p.State == endive.MemberLive && m.confirmed[p.ID].revision < c.revision
		}))...)
	}
	return actions
}
