package slots

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// Owners implements endive.Slots by lending slots between entries. Each
// executor is owned by one entry: the live one with the highest rendezvous
// hash, in the executor's region if that region has any live entry. The owner
// lends slots to its peers, starting with the peer whose request has waited
// longest, and counts them as lent until the borrower reports that it holds
// fewer.
//
// A new owner neither lends nor uses slots until all entries have reported the
// slots that they borrowed from the former owner, or those slots have expired.
type Owners struct {
	self   endive.EntryID
	config endive.Config
	view   endive.MembersChanged
	peers  map[endive.EntryID]endive.Peer
	// departed are the entries that recently became unreachable, with the time
	// when this entry noticed that.
	departed map[borrower]time.Time

	executors map[endive.ExecutorID]*executorSlots
	// byService lists the executors of each service, sorted by id.
	byService  map[endive.ServiceName][]*executorSlots
	demands    map[endive.ServiceName]*demand
	requesters map[endive.ServiceName]requesters
	lenders    map[lenderKey]*lender

	term         uint64
	sequence     uint64
	lastStep     time.Time
	claimsSentAt time.Time
	recalledAt   map[endive.ServiceName]time.Time
	wakeAt       time.Time
	actions      []endive.Action
}

// demand is this entry's own demand for slots of a service.
type demand struct {
	endive.SlotDemand
	// since is when the demand began.
	since time.Time
}

// NewOwners returns an Owners without configuration and peers.
func NewOwners(self endive.EntryID) *Owners {
	return &Owners{
		self:       self,
		peers:      make(map[endive.EntryID]endive.Peer),
		departed:   make(map[borrower]time.Time),
		executors:  make(map[endive.ExecutorID]*executorSlots),
		byService:  make(map[endive.ServiceName][]*executorSlots),
		demands:    make(map[endive.ServiceName]*demand),
		requesters: make(map[endive.ServiceName]requesters),
		lenders:    make(map[lenderKey]*lender),
		recalledAt: make(map[endive.ServiceName]time.Time),
	}
}

// Step implements endive.Machine. It handles endive.ConfigChanged,
// endive.MembersChanged, endive.Wake, and endive.Received with slot messages.
func (o *Owners) Step(now time.Time, event endive.Event) []endive.Action {
	o.actions = nil
	o.detectPause(now)
	switch e := event.(type) {
	case endive.ConfigChanged:
		o.config = e.Config
		o.updateExecutors(now)
	case endive.MembersChanged:
		o.applyMembers(now, e)
	case endive.Received:
		o.receive(now, e)
	case endive.Wake:
		o.wakeAt = time.Time{}
		o.tick(now)
	}
	o.setWake(now)
	return o.actions
}

// Free implements endive.Slots.
func (o *Owners) Free(now time.Time, executor endive.ExecutorID) int {
	o.detectPause(now)
	if a := o.executors[executor]; a != nil {
		return a.free(now)
	}
	return 0
}

// Acquire implements endive.Slots.
func (o *Owners) Acquire(now time.Time, executor endive.ExecutorID) bool {
	if o.Free(now, executor) == 0 {
		return false
	}
	a := o.executors[executor]
	a.used++
	if a.used >= a.limit {
		a.idleSince = time.Time{}
	}
	return true
}

// Release implements endive.Slots.
func (o *Owners) Release(now time.Time, executor endive.ExecutorID) []endive.Action {
	o.actions = nil
	o.detectPause(now)
	a := o.executors[executor]
	if a == nil || a.used == 0 {
		return nil
	}
	a.used--
	if a.ownership != nil {
		o.lendSlots(now, a.service)
	} else {
		o.keepOrReturn(now, a)
	}
	o.setWake(now)
	return o.actions
}

// Ownership implements endive.Slots.
func (o *Owners) Ownership(executor endive.ExecutorID) (endive.EntryID, int) {
	a := o.executors[executor]
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
	o.actions = nil
	o.detectPause(now)
	d := o.demandFor(want.Service)
	if d.Waiting == 0 {
		d.since = now
	}
	d.SlotDemand = want
	o.requestSlots(now, d)
	if d.Waiting == 0 {
		o.returnSurplus(now, d)
	}
	o.setWake(now)
	return o.actions
}

// detectPause claims the owned executors again if the process was paused,
// because other entries may have become their owners meanwhile.
func (o *Owners) detectPause(now time.Time) {
	paused := !o.lastStep.IsZero() && now.After(pauseThreshold.After(o.lastStep))
	o.lastStep = now
	if !paused {
		return
	}
	for _, a := range o.executors {
		if a.ownership != nil {
			o.claim(now, a)
		}
	}
}

// demandFor returns this entry's demand for a service and creates it if
// necessary.
func (o *Owners) demandFor(name endive.ServiceName) *demand {
	d := o.demands[name]
	if d == nil {
		d = &demand{SlotDemand: endive.SlotDemand{Service: name}}
		o.demands[name] = d
	}
	return d
}

// services returns the names of all services with executors, sorted.
func (o *Owners) services() []endive.ServiceName {
	names := make([]endive.ServiceName, 0, len(o.byService))
	for name := range o.byService {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// send emits a message to a peer.
func (o *Owners) send(to endive.EntryID, message proto.Message) {
	o.actions = append(o.actions, endive.Send{To: to, Message: message})
}

// receive handles a message from a peer. Messages from an incarnation that
// isn't in the members list are dropped.
func (o *Owners) receive(now time.Time, r endive.Received) {
	peer, ok := o.peers[r.From]
	if !ok || peer.Incarnation != r.Incarnation || peer.State == endive.MemberGone {
		return
	}
	// Sequence numbers and terms sent to a former incarnation are not valid for
	// this incarnation.
	if m, ok := r.Message.(interface{ GetReceiver() uint32 }); ok && m.GetReceiver() != o.incarnationHash(o.self) {
		return
	}
	from := borrower{r.From, r.Incarnation}
	switch m := r.Message.(type) {
	case *wire.SlotAsk:
		o.handleAsk(now, from, m)
	case *wire.SlotReturn:
		o.handleReturn(now, from, m)
	case *wire.SlotGrant:
		o.handleGrant(now, from, m)
	case *wire.SlotRecall:
		o.handleRecall(now, from, m)
	}
}

// incarnationHash returns the hash of an entry's incarnation in the members
// list.
func (o *Owners) incarnationHash(entry endive.EntryID) uint32 {
	return hashIncarnation(o.peers[entry].Incarnation)
}

// setWake requests the next wake-up.
func (o *Owners) setWake(now time.Time) {
	period := idleWakePeriod
	if o.hasDemand(now) {
		period = busyWakePeriod
	}
	next := period.After(now)
	if !o.wakeAt.IsZero() && !o.wakeAt.After(next) {
		return
	}
	o.wakeAt = next
	o.actions = append(o.actions, endive.SetWake{At: next})
}

// hasDemand reports whether this entry or a peer is waiting for slots.
func (o *Owners) hasDemand(now time.Time) bool {
	for _, d := range o.demands {
		if d.Waiting > 0 {
			return true
		}
	}
	for _, as := range o.requesters {
		for _, a := range as {
			if a.wanted > 0 && demandTimeout.After(a.askedAt).After(now) {
				return true
			}
		}
	}
	return false
}
