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
	// view is the index of the view that the entry has.
	view int
	used map[endive.ExecutorID]int
	// stopped entries do nothing more.
	stopped bool
}

// message is a message on its way.
type message struct {
	from        endive.EntryID
	incarnation endive.Incarnation
	send        endive.Send
}

// cluster runs Owners of several entries with a network that loses, doubles and
// reorders messages, and views that come at different times. No entry fails:
// each stops only with nothing in use.
type cluster struct {
	clock     *fakes.Clock
	slots     int
	members   []*member
	views     []endive.MembersChanged
	executors endive.Endpoints
	config    endive.Config
	network   []message
	// greedy entries use each slot that they may use at once.
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

// peerOf returns run number run of entry i.
func peerOf(i, run int) endive.Peer {
	return endive.Peer{
		ID: endive.EntryID(fmt.Sprintf("e%d", i)), Incarnation: endive.Incarnation(fmt.Sprint(run)),
		Region: "gogledd", State: endive.MemberLive,
	}
}

// start adds a running entry with the newest view.
func (c *cluster) start(p endive.Peer) {
	m := &member{
		id: p.ID, incarnation: p.Incarnation, owners: NewOwners(p.ID), view: len(c.views) - 1,
		used: make(map[endive.ExecutorID]int),
	}
	c.members = append(c.members, m)
	c.step(m, endive.ConfigChanged{Config: c.config})
	c.applyView(m)
}

// applyView gives m the view that it has come to.
func (c *cluster) applyView(m *member) {
	view := c.views[m.view]
	for _, p := range view.Peers {
		if p.ID == m.id {
			view.Self = p
		}
	}
	c.step(m, view)
}

// step gives m an event.
func (c *cluster) step(m *member, event endive.Event) {
	c.sendAll(m, m.owners.Step(c.clock.Now(), event))
}

// sendAll puts the messages of m on their way.
func (c *cluster) sendAll(m *member, actions []endive.Action) {
	for _, action := range actions {
		if send, ok := action.(endive.Send); ok {
			send.Message = proto.Clone(send.Message)
			c.network = append(c.network, message{m.id, m.incarnation, send})
		}
	}
}

// deliver gives letter i to its receiver, if it still runs.
func (c *cluster) deliver(i int) {
	l := c.network[i]
	for _, m := range c.members {
		if m.id == l.send.To && !m.stopped {
			c.step(m, endive.Received{From: l.from, Incarnation: l.incarnation, Message: l.send.Message})
		}
	}
}

// remove takes letter i off the network.
func (c *cluster) remove(i int) { c.network = append(c.network[:i:i], c.network[i+1:]...) }

// acquire uses a slot if m has one, and checks the total.
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
		c.fatalf("%s runs %d requests on %d slots", x, total, c.slots)
	}
	return true
}

// release gives a slot of m back, if it uses one.
func (c *cluster) release(m *member, x endive.ExecutorID) {
	if m.used[x] == 0 {
		return
	}
	m.used[x]--
	c.sendAll(m, m.owners.Release(c.clock.Now(), x))
}

// addView adds a view in which the peers are changed by edit.
func (c *cluster) addView(edit func(endive.Peers) endive.Peers) {
	last := c.views[len(c.views)-1]
	last.Peers = edit(append(endive.Peers{}, last.Peers...))
	c.views = append(c.views, last)
}

// running returns the entries that run.
func (c *cluster) running() []*member {
	var list []*member
	for _, m := range c.members {
		if !m.stopped {
			list = append(list, m)
		}
	}
	return list
}

// advance lets d advance and wakes each entry but asleep.
func (c *cluster) advance(d time.Duration, asleep *member) {
	c.clock.Advance(d)
	for _, m := range c.running() {
		if m != asleep {
			c.step(m, endive.Wake{})
		}
	}
}

// quiesce gives everyone the newest view, releases everything and lets all
// messages arrive for a while.
func (c *cluster) quiesce(d time.Duration) {
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
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		for len(c.network) > 0 {
			c.deliver(0)
			c.remove(0)
		}
		c.advance(50*time.Millisecond, nil)
	}
}
