package slots

import (
	"time"

	"pgregory.net/rapid"

	"endiveroute.example/endive"
)

// randomEvent applies one random event. If greedy is set, all entries then use
// all free slots.
func (c *cluster) randomEvent(t *rapid.T) {
	c.applyRandomEvent(t)
	if !c.greedy {
		return
	}
	for _, m := range c.running() {
		for _, x := range c.executors {
			for c.acquire(m, endive.ExecutorID(x.ID)) {
			}
		}
	}
}

// applyRandomEvent uses or releases a slot, changes a demand, delivers or loses
// a message, moves the clock, or changes the members, at random.
func (c *cluster) applyRandomEvent(t *rapid.T) {
	m := rapid.SampledFrom(c.running()).Draw(t, "entry")
	x := endive.ExecutorID(rapid.SampledFrom(c.executors).Draw(t, "executor").ID)
	switch op := rapid.IntRange(0, 19).Draw(t, "op"); {
	case op <= 1:
		c.acquire(m, x)
	case op <= 4:
		c.release(m, x)
	case op <= 6:
		n := rapid.IntRange(0, 5).Draw(t, "waiting")
		c.sendAll(m, m.owners.SetDemand(c.clock.Now(), endive.SlotDemand{Service: "quote", Waiting: n, Oldest: c.clock.Now()}))
	case op <= 13 && len(c.inFlight) > 0:
		i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
		c.deliver(i)
		if rapid.IntRange(0, 3).Draw(t, "duplicated") > 0 {
			c.remove(i)
		}
	case op == 14 && len(c.inFlight) > 0:
		c.remove(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "lost"))
	case op == 15:
		var paused *member
		if rapid.IntRange(0, 3).Draw(t, "pause") == 0 {
			paused = m
		}
		c.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms"))*time.Millisecond, paused)
	case op <= 17 && m.view < len(c.views)-1:
		m.view++
		c.applyView(m)
	case op == 18:
		c.toggle(m)
	case op == 19:
		c.startOrRestart(t, m)
	}
}

// toggle changes an entry's state between live and leaving in a new members
// list.
func (c *cluster) toggle(m *member) {
	c.addView(func(peers endive.Peers) endive.Peers {
		for i := range peers {
			if peers[i].ID != m.id {
				continue
			}
			if peers[i].State == endive.MemberLive {
				peers[i].State = endive.MemberLeaving
			} else {
				peers[i].State = endive.MemberLive
			}
		}
		return peers
	})
}

// startOrRestart starts a new entry, or stops one that uses no slots and starts
// its next incarnation.
func (c *cluster) startOrRestart(t *rapid.T, m *member) {
	if len(c.members) >= 6 {
		return
	}
	if rapid.Bool().Draw(t, "new") {
		p := peerOf(len(c.members), 1)
		c.addView(func(peers endive.Peers) endive.Peers { return append(peers, p) })
		c.start(p)
		return
	}
	for _, n := range m.used {
		if n > 0 {
			return
		}
	}
	m.stopped = true
	var restarted endive.Peer
	c.addView(func(peers endive.Peers) endive.Peers {
		for i := range peers {
			if peers[i].ID == m.id {
				peers[i].Incarnation += "+"
				peers[i].State = endive.MemberLive
				restarted = peers[i]
			}
		}
		return peers
	})
	c.start(restarted)
}
