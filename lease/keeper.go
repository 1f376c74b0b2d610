package lease

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/poll"
	"endiveroute.example/endive/wire"
)

const (
	// pauseBound is how late a wake-up may come without a pause.
	pauseBound = endive.Interval(time.Second)
	// retryPause is how long a transaction that failed waits for its next try.
	retryPause = endive.Interval(500 * time.Millisecond)
)

// Keeper holds the leases of an entry. Its events are HandOver, Released,
// endive.MembersChanged, endive.ConfigChanged, endive.Scanned, endive.Committed,
// endive.Received and endive.Wake; its actions HoldersUpdated, HandedOver,
// endive.PublishLease, endive.Scan, endive.Commit, endive.Send, endive.Decision
// and endive.SetWake.
type Keeper struct {
	settings    Settings
	self        endive.EntryID
	incarnation endive.Incarnation
	ids         *endive.WriteIDs

	view    endive.MembersChanged
	config  endive.Config
	tenures map[endive.SliceID]*tenure
	rows    *poll.Scanner
	// watched is when the newest scan that gave rows was sent.
	watched  time.Time
	renewal  renewal
	renewAt  time.Time
	nextPoll time.Time
	// settled is when slices that nobody ever held may be taken.
	settled time.Time
	holders Holders
	// stopping is set by HandOver, deadline is its own.
	stopping   bool
	deadline   time.Time
	handedOver bool
	wake       time.Time
}

// New returns the keeper of an entry that holds nothing. It needs one
// endive.Wake to begin.
func New(settings Settings, self endive.EntryID, incarnation endive.Incarnation) *Keeper {
	settings.Defaults()
	return &Keeper{
		settings:    settings,
		self:        self,
		incarnation: incarnation,
		ids:         endive.NewWriteIDs(self, incarnation, "lease"),
		tenures:     make(map[endive.SliceID]*tenure),
		rows:        poll.NewScanner(slicePrefix),
	}
}

// Step implements endive.Machine.
func (k *Keeper) Step(now time.Time, event endive.Event) []endive.Action {
	if k.settled.IsZero() {
		k.settled = k.settings.Stagger.After(now)
	}
	var actions []endive.Action
	switch e := event.(type) {
	case HandOver:
		actions = k.stop(e)
	case Released:
		k.released(e.Slice)
	case endive.MembersChanged:
		k.view = e
		k.want()
	case endive.ConfigChanged:
		k.config = e.Config
		k.want()
	case endive.Scanned:
		actions = k.scanned(now, e)
	case endive.Committed:
		actions = k.committed(now, e)
	case endive.Received:
		actions = k.received(now, e)
	case endive.Wake:
		actions = k.woken(now)
	}
	actions = append(actions, k.poll(now)...)
	actions = append(actions, k.renew(now)...)
	actions = append(actions, k.handOver(now)...)
	actions = append(actions, k.tellHolders()...)
	return append(actions, k.setWake(now)...)
}

// woken takes a wake-up. One that comes much too late means that the process
// was paused: the rows are read before anything is taken.
func (k *Keeper) woken(now time.Time) []endive.Action {
	late := !k.wake.IsZero() && now.Sub(k.wake) > time.Duration(pauseBound)
	k.wake = time.Time{}
	if !late {
		return nil
	}
	k.nextPoll = now
	return []endive.Action{endive.Decision{
		Kind: endive.DecisionLease, Subject: string(k.self), Choice: "recheck",
		Reason: "the wake-up came late, as after a pause",
	}}
}

// want notes which slices have workers.
func (k *Keeper) want() {
	for _, t := range k.tenures {
		t.wanted = false
	}
	for _, slice := range endive.Slices(k.view.Endpoints, k.config) {
		t := k.tenure(slice.ID)
		t.slice = slice
		t.wanted = true
	}
}

// tenure returns what is known of a slice.
func (k *Keeper) tenure(id endive.SliceID) *tenure {
	t, ok := k.tenures[id]
	if !ok {
		t = &tenure{slice: endive.Slice{ID: id}}
		k.tenures[id] = t
	}
	return t
}

// sorted returns all tenures in the order of the slices' ids.
func (k *Keeper) sorted() []*tenure {
	list := make([]*tenure, 0, len(k.tenures))
	for _, t := range k.tenures {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].slice.ID < list[j].slice.ID })
	return list
}

// received takes an offer of a slice, or the answer to one.
func (k *Keeper) received(now time.Time, e endive.Received) []endive.Action {
	switch m := e.Message.(type) {
	case *wire.SliceOffer:
		_, actions := k.rows.Request(now)
		return actions
	case *wire.SliceAnswer:
		t, ok := k.tenures[endive.SliceID(m.GetSlice())]
		if ok && t.stage == stageHanded && e.From == t.successor && m.GetEpoch() == uint64(t.row.Epoch) {
			t.stage = stageOther
		}
	}
	return nil
}

// poll reads the rows when it is time.
func (k *Keeper) poll(now time.Time) []endive.Action {
	if now.Before(k.nextPoll) {
		return nil
	}
	k.nextPoll = k.settings.Poll.After(now)
	_, actions := k.rows.Request(now)
	return actions
}

// tellHolders tells who holds which slice, if it changed.
func (k *Keeper) tellHolders() []endive.Action {
	var holders Holders
	for _, t := range k.sorted() {
		if t.epochVersion > 0 {
			holders = append(holders, Holder{Slice: t.slice.ID, Entry: t.row.Holder, Epoch: t.row.Epoch})
		}
	}
	if slices.Equal(holders, k.holders) {
		return nil
	}
	k.holders = holders
	return []endive.Action{PublishHolders{Holders: holders}}
}

// setWake asks for a wake-up when the next thing is due.
func (k *Keeper) setWake(now time.Time) []endive.Action {
	at := k.nextPoll
	sooner := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	sooner(k.renewAt)
	if k.stopping && !k.handedOver {
		sooner(k.deadline)
	}
	for _, t := range k.tenures {
		sooner(t.retryAt)
		if t.stage == stageReleasing {
			sooner(t.until)
		}
	}
	if at.Equal(k.wake) {
		return nil
	}
	k.wake = at
	return []endive.Action{endive.SetWake{At: at}}
}

// decision returns the log line of a decision on a slice.
func decision(t *tenure, choice, reason string) endive.Action {
	return endive.Decision{
		Kind: endive.DecisionLease, Subject: string(t.slice.ID), Choice: choice, Reason: reason,
	}
}
