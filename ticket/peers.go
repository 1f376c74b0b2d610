package ticket

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// askPeers asks some peers for their state: the next ones in turn among those
// that are live, or among all that aren't gone where none is.
func (k *Keeper) askPeers(now time.Time) []endive.Action {
	peers := k.others(func(p endive.Peer) bool { return p.State == endive.MemberLive && p.Ready })
	if len(peers) == 0 {
		peers = k.others(func(p endive.Peer) bool { return p.State != endive.MemberGone })
	}
	var actions []endive.Action
	for i := 0; i < min(asksPerPoll, len(peers)); i++ {
		k.asks.turn++
		actions = append(actions, endive.Send{
			To:      peers[k.asks.turn%len(peers)],
			Message: &wire.StateAsk{Sequence: k.asks.next(now), Grant: !k.standing.registered},
		})
	}
	return actions
}

// others returns the other entries that a test holds for, in order.
func (k *Keeper) others(test func(endive.Peer) bool) []endive.EntryID {
	var ids []endive.EntryID
	for _, p := range k.view.Peers {
		if p.ID != k.self && test(p) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// stateAsked gives a peer the state. Only a registered entry that answers
// callers does: its state is accounted for. A grant is remembered, as no later
// revision may be confirmed before its end.
func (k *Keeper) stateAsked(now time.Time, from endive.EntryID, m *wire.StateAsk) []endive.Action {
	if !k.Ready(now) || !k.standing.registered {
		return nil
	}
	if m.GetGrant() {
		k.grants.add(k.contents.held(), (k.settings.Grant + k.settings.Margin).After(now))
	}
	return []endive.Action{endive.Send{To: from, Message: &wire.StateAnswer{
		Revision: uint64(k.contents.held()),
		Rows:     k.contents.message(k.contents.keys()),
		Sequence: m.GetSequence(),
		Granted:  m.GetGrant(),
	}}}
}

// stateAnswered takes over a peer's state. It holds from the moment that it was
// asked for.
func (k *Keeper) stateAnswered(m *wire.StateAnswer) {
	sent, ok := k.asks.take(m.GetSequence())
	if !ok || !k.mergeMessage(m.GetRows()) {
		return
	}
	k.contents.complete(endive.Revision(m.GetRevision()))
	switch {
	case k.standing.registered:
		k.standing.prove(sent, k.settings.Contact)
	case m.GetGranted():
		k.standing.prove(sent, k.settings.Grant)
	}
}

// mergeMessage takes over rows from a peer. It reports whether all could be
// read.
func (k *Keeper) mergeMessage(rows []*wire.ConfigRow) bool {
	whole := true
	for _, row := range rows {
		key := endive.ResourceKey(row.GetKey())
		c, err := decodeConfigured(key, row.GetValue())
		if err != nil {
			whole = false
			continue
		}
		k.contents.merge(key, configRow{ConfiguredResource: c, Revision: endive.Revision(row.GetRevision())})
	}
	return whole
}

// notify tells the other entries of a ticket that was written.
func (k *Keeper) notify(c *change, to []endive.EntryID) []endive.Action {
	keys := make([]endive.ResourceKey, 0, len(c.resources))
	for _, r := range c.resources {
		keys = append(keys, r.key)
	}
	message := &wire.TicketNotice{
		Number:   uint64(c.ticket.Number),
		Revision: uint64(c.revision),
		Rows:     k.contents.message(keys),
	}
	actions := make([]endive.Action, 0, len(to))
	for _, entry := range to {
		actions = append(actions, endive.Send{To: entry, Message: message})
	}
	return actions
}

// notifyAgain repeats the notices of tickets to the entries that haven't
// confirmed them: messages get lost.
func (k *Keeper) notifyAgain() []endive.Action {
	var actions []endive.Action
	for _, c := range k.changes {
		if c.phase != phaseWritten {
			continue
		}
		actions = append(actions, k.notify(c, k.others(func(p endive.Peer) bool {
			return p.State == endive.MemberLive && k.confirmed[p.ID].revision < c.revision
		}))...)
	}
	return actions
}
