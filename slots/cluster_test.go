package slots

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// member is one entry of a cluster.
type member struct {
	id          endive.EntryID
	incarnation endive.Incarnation
	owners      *Owners
	// view is the index of the members list that the entry has.
	view int
	used map[endive.ExecutorID]int
	// stopped entries receive no more events.
	stopped bool
}

// message is a message that hasn't been delivered yet.
type message struct {
	from        endive.EntryID
	incarnation endive.Incarnation
	send        endive.Send
}

// cluster runs Owners of several entries on a network that loses, duplicates
// and reorders messages. The entries receive a new members list at different
// times. No entry fails: an entry stops only when it uses no slots.
type cluster struct {
	clock     *fakes.Clock
	slots     int
	members   []*member
	views     []endive.MembersChanged
	executors endive.Endpoints
	config    endive.Config
	inFlight  []message
	// greedy makes all entries use every free slot immediately.
	greedy bool
	fatalf func(string, ...any)
}

func newCluster(entries, executors, slots int, fatalf func(string, ...any)) *cluster {
	service := endive.Service{Name: "quote", Slots: slots}
	service.Defaults()
	c := &cluster{clock: fakes.NewClock(), slots: slots, fatalf: fatalf, config: endive.Config{
		Resources: map[endive.ResourceKey]endive.ConfiguredResource{service.Key(): {Ticket: 1, Service: &service}},
	}}
	for i := range executors {
		c.executors = append(c.executors, endive.Endpoint{State: endive.MemberLive, Instance: endive.Instance{
			ID: fmt.Sprintf("x%d", i), Kind: endive.KindExecutor, Region: "gogledd", Service: "quote",
		}})
	}
	var peers endive.Peers
	for i := range entries {
		peers = append(peers, peerOf(i, 1))
	}
	c.views = []endive.MembersChanged{{Peers: peers, Endpoints: c.executors}}
	for _, p := range peers {
		c.start(p)
	}
	return c
}

// peerOf returns incarnation number run of entry i.
func peerOf(i, run int) endive.Peer {
	return endive.Peer{
		ID: endive.EntryID(fmt.Sprintf("e%d", i)), Incarnation: endive.Incarnation(fmt.Sprint(run)),
		Region: "gogledd", State: endive.MemberLive,
	}
}

// start adds a running entry with the newest members list.
func (c *cluster) start(p endive.Peer) {
	m := &member{
		id: p.ID, incarnation: p.Incarnation, owners: NewOwners(p.ID), view: len(c.views) - 1,
		used: make(map[endive.ExecutorID]int),
	}
	c.members = append(c.members, m)
	c.step(m, endive.ConfigChanged{Config: c.config})
	c.applyView(m)
}

// applyView sends a member the members list at the index in member.view.
func (c *cluster) applyView(m *member) {
	view := c.views[m.view]
	for _, p := range view.Peers {
		if p.ID == m.id {
			view.Self = p
		}
	}
	c.step(m, view)
}

// step applies an event to a member.
func (c *cluster) step(m *member, event endive.Event) {
	c.sendAll(m, m.owners.Step(c.clock.Now(), event))
}

// sendAll puts the messages among a member's actions on the network.
func (c *cluster) sendAll(m *member, actions []endive.Action) {
	for _, action := range actions {
		if send, ok := action.(endive.Send); ok {
			send.Message = proto.Clone(send.Message)
			c.inFlight = append(c.inFlight, message{m.id, m.incarnation, send})
		}
	}
}

// deliver delivers message i if its receiver is running.
func (c *cluster) deliver(i int) {
	msg := c.inFlight[i]
	for _, m := range c.members {
		if m.id == msg.send.To && !m.stopped {
			c.step(m, endive.Received{From: msg.from, Incarnation: msg.incarnation, Message: msg.send.Message})
		}
	}
}

// remove removes message i from the network.
func (c *cluster) remove(i int) { c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...) }

// acquire uses a slot if the member has a free one, and checks that the
// executor's slots aren't exceeded.
func (c *cluster) acquire(m *member, x endive.ExecutorID) bool {
	if !m.owners.Acquire(c.clock.Now(), x) {
		return false
	}
	m.used[x]++
	total := 0
	for _, o := range c.members {
		total += o.used[x]
	}
	if total > c.slots {
		c.fatalf("executor %s runs %d requests on %d slots", x, total, c.slots)
	}
	return true
}

// release releases a slot if the member uses one.
func (c *cluster) release(m *member, x endive.ExecutorID) {
	if m.used[x] == 0 {
		return
	}
	m.used[x]--
	c.sendAll(m, m.owners.Release(c.clock.Now(), x))
}

// addView adds a members list with the peers changed by edit.
func (c *cluster) addView(edit func(endive.Peers) endive.Peers) {
	last := c.views[len(c.views)-1]
	last.Peers = edit(append(endive.Peers{}, last.Peers...))
	c.views = append(c.views, last)
}

// running returns the running entries.
func (c *cluster) running() []*member {
	var list []*member
	for _, m := range c.members {
		if !m.stopped {
			list = append(list, m)
		}
	}
	return list
}

// advance moves the clock forward and wakes all running entries except paused.
func (c *cluster) advance(d time.Duration, paused *member) {
	c.clock.Advance(d)
	for _, m := range c.running() {
		if m != paused {
			c.step(m, endive.Wake{})
		}
	}
}

// quiesce gives all entries the newest members list, releases all slots and
// delivers all messages for the given time.
func (c *cluster) quiesce(duration time.Duration) {
	for _, m := range c.running() {
		m.view = len(c.views) - 1
		c.applyView(m)
		for _, x := range c.executors {
			for m.used[endive.ExecutorID(x.ID)] > 0 {
				c.release(m, endive.ExecutorID(x.ID))
			}
		}
		c.sendAll(m, m.owners.SetDemand(c.clock.Now(), endive.SlotDemand{Service: "quote"}))
	}
	for end := c.clock.Now().Add(duration); c.clock.Now().Before(end); {
		for len(c.inFlight) > 0 {
			c.deliver(0)
			c.remove(0)
		}
		c.advance(50*time.Millisecond, nil)
	}
}
