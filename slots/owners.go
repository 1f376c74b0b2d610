package slots

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// Owners is the way of lending. One entry owns an executor: the live one that
// ranks first by rendezvous hashing, in the executor's region if there is one.
// It lends slots to its peers, the one whose request has waited longest first,
// and counts them until the borrower says that it holds fewer.
//
// A new owner lends and uses nothing before all entries have said what they hold
// of the former one, or what they hold has run out.
type Owners struct {
	self   endive.EntryID
	config endive.Config
	view   endive.MembersChanged
	peers  map[endive.EntryID]endive.Peer
	// departed are the entries that lately went silent, with the time when all
	// they held has run out.
	departed map[borrower]time.Time

	assets map[endive.ExecutorID]*asset
	// order lists the assets of a service, in the order of their ids.
	order   map[endive.ServiceName][]*asset
	demands map[endive.ServiceName]*demand
	askers  map[endive.ServiceName]askers
	sources map[sourceKey]*source

	term     uint64
	sequence uint64
	stepped  time.Time
	claimed  time.Time
	recalled map[endive.ServiceName]time.Time
	wake     time.Time
	out      []endive.Action
}

// demand is this entry's own demand for slots of a service.
type demand struct {
	endive.SlotDemand
	// since is when it began.
	since time.Time
}

// NewOwners returns the slots of an entry that knows no peers yet.
func NewOwners(self endive.EntryID) *Owners {
	return &Owners{
		self:     self,
		peers:    make(map[endive.EntryID]endive.Peer),
		departed: make(map[borrower]time.Time),
		assets:   make(map[endive.ExecutorID]*asset),
		order:    make(map[endive.ServiceName][]*asset),
		demands:  make(map[endive.ServiceName]*demand),
		askers:   make(map[endive.ServiceName]askers),
		sources:  make(map[sourceKey]*source),
		recalled: make(map[endive.ServiceName]time.Time),
	}
}

// Step implements endive.Machine for endive.ConfigChanged,
// endive.MembersChanged, endive.Wake, and endive.Received with slot messages.
func (o *Owners) Step(now time.Time, event endive.Event) []endive.Action {
	o.out = nil
	o.observe(now)
	switch e := event.(type) {
	case endive.ConfigChanged:
		o.config = e.Config
		o.arrange(now)
	case endive.MembersChanged:
		o.changeView(now, e)
	case endive.Received:
		o.receive(now, e)
	case endive.Wake:
		o.wake = time.Time{}
		o.tick(now)
	}
	o.setWake(now)
	return o.out
}

// Free implements endive.Slots.
func (o *Owners) Free(now time.Time, executor endive.ExecutorID) int {
	o.observe(now)
	if a := o.assets[executor]; a != nil {
		return a.free(now)
	}
	return 0
}

// Acquire implements endive.Slots.
func (o *Owners) Acquire(now time.Time, executor endive.ExecutorID) bool {
	if o.Free(now, executor) == 0 {
		return false
	}
	a := o.assets[executor]
	a.used++
	if a.used >= a.limit {
		a.idleSince = time.Time{}
	}
	return true
}

// Release implements endive.Slots.
func (o *Owners) Release(now time.Time, executor endive.ExecutorID) []endive.Action {
	o.out = nil
	o.observe(now)
	a := o.assets[executor]
	if a == nil || a.used == 0 {
		return nil
	}
	a.used--
	if a.ownership != nil {
		o.lend(now, a.service)
	} else {
		o.keepOrReturn(now, a)
	}
	o.setWake(now)
	return o.out
}

// Ownership implements endive.Slots.
func (o *Owners) Ownership(executor endive.ExecutorID) (endive.EntryID, int) {
	a := o.assets[executor]
	switch {
	case a == nil:
		return "", 0
	case a.ownership == nil:
		return a.owner, 0
	}
	return o.self, a.ownership.lent()
}

// SetDemand implements endive.Slots.
func (o *Owners) SetDemand(now time.Time, want endive.SlotDemand) []endive.Action {
	o.out = nil
	o.observe(now)
	d := o.demand(want.Service)
	if d.Waiting == 0 {
		d.since = now
	}
	d.SlotDemand = want
	o.ask(now, d)
	if d.Waiting == 0 {
		o.giveSurplus(now, d)
	}
	o.setWake(now)
	return o.out
}

// observe notices that the process was paused. Others may have taken its
// executors over meanwhile, so it claims them anew.
func (o *Owners) observe(now time.Time) {
	paused := !o.stepped.IsZero() && now.After(pauseAfter.After(o.stepped))
	o.stepped = now
	if !paused {
		return
	}
	for _, a := range o.assets {
		if a.ownership != nil {
			o.claim(now, a)
		}
	}
}

// demand returns this entry's demand for a service, made if need be.
func (o *Owners) demand(name endive.ServiceName) *demand {
	d := o.demands[name]
	if d == nil {
		d = &demand{SlotDemand: endive.SlotDemand{Service: name}}
		o.demands[name] = d
	}
	return d
}

// services returns the names of all services with executors, sorted.
func (o *Owners) services() []endive.ServiceName {
	names := make([]endive.ServiceName, 0, len(o.order))
	for name := range o.order {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// send asks for a message to a peer.
func (o *Owners) send(to endive.EntryID, message proto.Message) {
	o.out = append(o.out, endive.Send{To: to, Message: message})
}

// receive takes in a message of a peer, unless it is of another run than the one
// in view.
func (o *Owners) receive(now time.Time, r endive.Received) {
	peer, ok := o.peers[r.From]
	if !ok || peer.Incarnation != r.Incarnation || peer.State == endive.MemberGone {
		return
	}
	// A message to the former run of this entry has numbers of that run.
	if m, ok := r.Message.(interface{ GetReceiver() uint32 }); ok && m.GetReceiver() != o.run(o.self) {
		return
	}
	from := borrower{r.From, r.Incarnation}
	switch m := r.Message.(type) {
	case *wire.SlotAsk:
		o.asked(now, from, m)
	case *wire.SlotReturn:
		o.returned(now, from, m)
	case *wire.SlotGrant:
		o.granted(now, from, m)
	case *wire.SlotRecall:
		o.recall(now, from, m)
	}
}

// run returns the hash of the run of an entry that is in view.
func (o *Owners) run(entry endive.EntryID) uint32 { return runHash(o.peers[entry].Incarnation) }

// setWake asks for the next wake-up.
func (o *Owners) setWake(now time.Time) {
	period := idleTick
	if o.busy(now) {
		period = busyTick
	}
	next := period.After(now)
	if !o.wake.IsZero() && !o.wake.After(next) {
		return
	}
	o.wake = next
	o.out = append(o.out, endive.SetWake{At: next})
}

// busy reports whether somebody waits for slots.
func (o *Owners) busy(now time.Time) bool {
	for _, d := range o.demands {
		if d.Waiting > 0 {
			return true
		}
	}
	for _, as := range o.askers {
		for _, a := range as {
			if a.want > 0 && wantHold.After(a.askedAt).After(now) {
				return true
			}
		}
	}
	return false
}
