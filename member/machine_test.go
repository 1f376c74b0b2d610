package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/wire"
)

// delivery is a message in flight.
type delivery struct {
	to    *Machine
	event endive.Received
}

// pair is two entries whose messages the test delivers directly, without a network.
type pair struct {
	clock *fakes.Clock
	a, b  *Machine
	view  map[*Machine]endive.MembersChanged
	queue []delivery
	// aCutOff drops all messages to machine a, and bCutOff drops all messages
	// to machine b.
	aCutOff, bCutOff bool
}

func newPair() *pair {
	a := endive.Peer{ID: "entry-1", Incarnation: "a1", Region: "gogledd", Zone: "gogledd-1"}
	b := endive.Peer{ID: "entry-2", Incarnation: "b1", Region: "de", Zone: "de-1"}
	p := &pair{clock: fakes.NewClock(), view: make(map[*Machine]endive.MembersChanged)}
	p.a = New(a, endive.Peers{a, b}, Settings{})
	p.b = New(b, endive.Peers{a, b}, Settings{})
	return p
}

// step passes one event to a machine and then delivers all messages in order.
func (p *pair) step(m *Machine, event endive.Event) {
	p.process(m, event)
	for len(p.queue) > 0 {
		next := p.queue[0]
		p.queue = p.queue[1:]
		p.process(next.to, next.event)
	}
}

func (p *pair) process(m *Machine, event endive.Event) {
	for _, action := range m.Step(p.clock.Now(), event) {
		switch a := action.(type) {
		case endive.PublishMembers:
			p.view[m] = a.View
		case endive.Send:
			p.enqueue(m, a)
		}
	}
}

func (p *pair) enqueue(from *Machine, send endive.Send) {
	to, cutOff := p.b, p.bCutOff
	if from == p.b {
		to, cutOff = p.a, p.aCutOff
	}
	if cutOff {
		return
	}
	p.queue = append(p.queue, delivery{to, endive.Received{From: from.self.ID, Incarnation: from.self.Incarnation, Message: send.Message}})
}

// run runs both entries for the given time.
func (p *pair) run(seconds int) {
	for range seconds {
		p.clock.Advance(time.Second)
		p.step(p.a, endive.Wake{})
		p.step(p.b, endive.Wake{})
	}
}

func (p *pair) stateOf(m *Machine, id endive.EntryID) endive.MemberState {
	for _, peer := range p.view[m].Peers {
		if peer.ID == id {
			return peer.State
		}
	}
	return ""
}

func (p *pair) endpoint(m *Machine, id string) endive.MemberState {
	for _, e := range p.view[m].Endpoints {
		if e.ID == id {
			return e.State
		}
	}
	return ""
}

func TestPeerStates(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.run(3)
	is.Equal(p.stateOf(p.a, "entry-2"), endive.MemberLive)
	is.Equal(p.stateOf(p.b, "entry-1"), endive.MemberLive)

	p.bCutOff = true // b receives no messages from a; a still receives those from b
	p.run(8)
	is.Equal(p.stateOf(p.b, "entry-1"), endive.MemberSuspect)
	is.Equal(p.stateOf(p.a, "entry-2"), endive.MemberSuspect) // a peer must also receive this entry's heartbeats

	p.aCutOff = true
	p.run(16)
	is.Equal(p.stateOf(p.a, "entry-2"), endive.MemberGone)

	p.aCutOff, p.bCutOff = false, false
	p.run(4)
	is.Equal(p.stateOf(p.a, "entry-2"), endive.MemberLive)

	p.step(p.b, Leave{})
	is.Equal(p.stateOf(p.a, "entry-2"), endive.MemberLeaving) // at once, not with the next regular heartbeat
}

func TestPausedEntryRechecksPeers(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.run(3)
	p.clock.Advance(20 * time.Second) // both were paused; a continues first, on any event
	p.bCutOff = true
	p.step(p.a, endive.ConfigChanged{})
	is.Equal(p.stateOf(p.a, "entry-2"), endive.MemberGone)
}

func TestLeavingEndpoint(t *testing.T) {
	executor := endive.Instance{ID: "quote-1", Kind: endive.KindExecutor}
	leaving := executor
	leaving.Leaving = true
	drain := endive.Config{Resources: map[endive.ResourceKey]endive.ConfiguredResource{
		"drains/quote-1": {Ticket: 1, Drain: &endive.Drain{Instance: "quote-1"}},
	}}
	tests := []struct {
		name     string
		announce func(p *pair)
	}{
		{"reported by the instance list", func(p *pair) { p.step(p.a, InstancesListed{Instances: []endive.Instance{leaving}}) }},
		{"announced to this entry", func(p *pair) { p.step(p.a, EndpointLeaving{"quote-1"}) }},
		{"announced to a peer", func(p *pair) { p.step(p.b, EndpointLeaving{"quote-1"}) }},
		{"drained by a ticket", func(p *pair) { p.step(p.a, endive.ConfigChanged{Config: drain}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
			p.run(3)
			p.step(p.a, InstancesListed{Instances: []endive.Instance{executor}})
			is.Equal(p.endpoint(p.a, "quote-1"), endive.MemberLive)
			tt.announce(p)
			is.Equal(p.endpoint(p.a, "quote-1"), endive.MemberLeaving) // without another regular heartbeat
		})
	}
}

func TestLaggingListKeepsEndpointLeaving(t *testing.T) {
	is := is.New(t)
	p := newPair()
	listed := InstancesListed{Instances: []endive.Instance{{ID: "quote-1", Kind: endive.KindExecutor}}}
	p.step(p.a, listed)
	p.step(p.a, EndpointLeaving{"quote-1"})
	for range 30 { // the list lags by 30 s
		p.run(1)
		p.step(p.a, listed)
		is.Equal(p.endpoint(p.a, "quote-1"), endive.MemberLeaving)
	}
	p.step(p.a, InstancesListed{Unavailable: true})
	is.Equal(p.endpoint(p.a, "quote-1"), endive.MemberLeaving)
	p.step(p.a, InstancesListed{})
	p.run(6)
	is.Equal(p.endpoint(p.a, "quote-1"), endive.MemberGone)
}

// TestOldHeartbeatsDoNotRevivePeer checks that late or duplicated heartbeats don't make a silent
// peer live again.
func TestOldHeartbeatsDoNotRevivePeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		var earlier []endive.Received
		sequence := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.clock.Advance(time.Second)
			p.step(p.a, endive.Wake{})
			if rapid.Bool().Draw(t, "replay") && len(earlier) > 0 {
				before := p.stateOf(p.a, "entry-2")
				p.step(p.a, earlier[rapid.IntRange(0, len(earlier)-1).Draw(t, "which")])
				if before != endive.MemberLive && p.stateOf(p.a, "entry-2") == endive.MemberLive {
					t.Fatalf("an old heartbeat made a %s peer live", before)
				}
				continue
			}
			if !rapid.Bool().Draw(t, "beat") {
				continue
			}
			sequence++
			heartbeat := endive.Received{From: "entry-2", Incarnation: "b1", Message: &wire.Heartbeat{Sequence: sequence, Echo: p.a.sequence}}
			earlier = append(earlier, heartbeat)
			p.step(p.a, heartbeat)
		}
	})
}

func TestLoadsAreSentOnce(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.run(3)
	load := []*wire.ServiceLoad{{Service: "quote", Waiting: 1}}
	p.step(p.a, LoadsChanged{Services: load})
	for i := range 3 {
		p.clock.Advance(time.Second)
		for _, action := range p.a.Step(p.clock.Now(), endive.Wake{}) {
			if send, ok := action.(endive.Send); ok {
				is.Equal(len(send.Message.(*wire.Heartbeat).GetServices()) == 1, i == 0)
			}
		}
	}
}

// TestLeaveNoticesAreRepeated checks that leave notices are sent again to peers that missed
// them.
func TestLeaveNoticesAreRepeated(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.run(3)
	executor := endive.Instance{ID: "quote-1", Kind: endive.KindExecutor}
	p.step(p.a, InstancesListed{Instances: []endive.Instance{executor}})
	p.aCutOff = true
	p.step(p.b, EndpointLeaving{"quote-1"})
	is.Equal(p.endpoint(p.a, "quote-1"), endive.MemberLive) // the message was lost
	p.aCutOff = false
	p.run(1)
	is.Equal(p.endpoint(p.a, "quote-1"), endive.MemberLeaving)
}
