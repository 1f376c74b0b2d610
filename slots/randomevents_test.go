package slots

import (
	"time"

	"pgregory.net/rapid"

	"endiveroute.example/endive"
)

// randomEvent does one randomEvent thing.
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

// applyRandomEvent does one random thing.
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
	case op <= 13 && len(c.network) > 0:
		i := rapid.IntRange(0, len(c.network)-1).Draw(t, "letter")
		c.deliver(i)
		if rapid.IntRange(0, 3).Draw(t, "doubled") > 0 {
			c.remove(i)
		}
	case op == 14 && len(c.network) > 0:
		c.remove(rapid.IntRange(0, len(c.network)-1).Draw(t, "lost"))
	case op == 15:
		var asleep *member
		if rapid.IntRange(0, 3).Draw(t, "pause") == 0 {
			asleep = m
		}
		c.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms"))*time.Millisecond, asleep)
	case op <= 17 && m.view < len(c.views)-1:
		m.view++
		c.applyView(m)
	case op == 18:
		c.toggle(m)
	case op == 19:
		c.startOrRestart(t, m)
	}
}

// toggle makes an entry leave in the next view, or come back.
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

// startOrRestart starts a new entry, or stops one with nothing in use and starts its
// next run.
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
	var next endive.Peer
	c.addView(func(peers endive.Peers) endive.Peers {
		for i := range peers {
			if peers[i].ID == m.id {
				peers[i].Incarnation += "+"
				peers[i].State = endive.MemberLive
				next = peers[i]
			}
		}
		return peers
	})
	c.start(next)
}
