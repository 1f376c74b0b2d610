package ticket

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/poll"
	"endiveroute.example/endive/wire"
)

// Keeper keeps the configuration of an entry. Its events are Apply, Show, Leave,
// endive.Scanned, endive.Fetched, endive.Committed, endive.Received,
// endive.MembersChanged and endive.Wake; its actions Answer, Shown, Left,
// endive.Scan, endive.Fetch, endive.Commit, endive.Send, endive.PublishConfig,
// endive.Decision and endive.SetWake.
type Keeper struct {
	settings    Settings
	self        endive.EntryID
	incarnation endive.Incarnation
	ids         *endive.WriteIDs

	contents contents
	config   *poll.Scanner
	grants   grants
	// formerUntil is how long grants of a former run of this entry may last;
	// zero where there was none.
	formerUntil time.Time
	// published is the configuration that the other machines have.
	published endive.Config
	// newest is the newest revision that a peer has named, sought the newest
	// that the table was asked for at once.
	newest, sought endive.Revision

	registry registry
	entries  *poll.Scanner
	standing standing
	// removing is the transaction on its way that takes back the registration
	// of a gone entry.
	removing endive.WriteID

	view      endive.MembersChanged
	confirmed map[endive.EntryID]confirmation
	asks      asks
	changes   []*change

	nextPoll    time.Time
	nextEntries time.Time
	// unregistered counts the polls since the entry was registered.
	unregistered int
	wake         time.Time
	started      bool
}

// confirmation is what an entry has said that it has in force.
type confirmation struct {
	incarnation endive.Incarnation
	revision    endive.Revision
}

// New returns the keeper of an entry that has just started. It needs one
// endive.Wake to begin.
func New(settings Settings, self endive.EntryID, incarnation endive.Incarnation) *Keeper {
	settings.Defaults()
	return &Keeper{
		settings:    settings,
		self:        self,
		incarnation: incarnation,
		ids:         endive.NewWriteIDs(self, incarnation, "ticket"),
		contents:    contents{rows: make(map[endive.ResourceKey]configRow), unreadable: make(map[endive.ResourceKey]endive.Revision)},
		config:      poll.NewScanner(configPrefix),
		grants:      grants{until: make(map[endive.Revision]time.Time)},
		registry:    registry{rows: make(map[endive.EntryID]*entryRow)},
		entries:     poll.NewScanner(entryPrefix),
		confirmed:   make(map[endive.EntryID]confirmation),
		asks:        asks{sent: make(map[uint64]time.Time)},
	}
}

// Step implements endive.Machine.
func (k *Keeper) Step(now time.Time, event endive.Event) []endive.Action {
	actions := k.begin(now)
	switch e := event.(type) {
	case Apply:
		actions = append(actions, k.apply(now, e)...)
	case ShowConfig:
		actions = append(actions, k.show(e)...)
	case Unregister:
		k.standing.leaving = true
	case endive.Scanned:
		actions = append(actions, k.scanned(now, e)...)
	case endive.Fetched:
		actions = append(actions, k.fetched(now, e)...)
	case endive.Committed:
		actions = append(actions, k.committed(now, e)...)
	case endive.Received:
		actions = append(actions, k.received(now, e)...)
	case endive.MembersChanged:
		k.view = e
		for _, p := range e.Peers {
			k.confirm(p.ID, p.Incarnation, p.ConfigRevision)
		}
	case endive.Wake:
		actions = append(actions, k.woken(now)...)
	}
	return append(actions, k.end(now)...)
}

// Ready reports whether the entry may answer callers at now: it has a whole
// configuration, and whoever says that a ticket is in force waits for it. The
// entry looks before each request that it takes.
func (k *Keeper) Ready(now time.Time) bool {
	return k.contents.whole && !k.standing.leaving && now.Before(k.standing.valid)
}

// begin looks at the clock before the event: the process may have been paused.
func (k *Keeper) begin(now time.Time) []endive.Action {
	if !k.started {
		k.started = true
		k.formerUntil = (k.settings.Grant + k.settings.Margin).After(now)
	}
	if !k.standing.lapse(now) {
		return nil
	}
	return []endive.Action{k.decision("", "unregistered", "had neither the table nor a peer for "+k.settings.Contact.String())}
}

// end does what has become due, whatever the event was.
func (k *Keeper) end(now time.Time) []endive.Action {
	if k.standing.registered && k.alone() {
		k.standing.prove(now, k.settings.Contact)
	}
	k.registry.watch(now, k.view)
	actions := k.poll(now)
	actions = append(actions, k.register(now)...)
	actions = append(actions, k.remove(now)...)
	actions = append(actions, k.publish(now)...)
	actions = append(actions, k.decide(now)...)
	return append(actions, k.setWake(now)...)
}

// woken takes a wake-up. One that comes much too late means that the process
// was paused: the table and the peers are asked before anything else.
func (k *Keeper) woken(now time.Time) []endive.Action {
	late := !k.wake.IsZero() && now.Sub(k.wake) > time.Duration(pauseBound)
	k.wake = time.Time{}
	if !late {
		return nil
	}
	k.nextPoll, k.nextEntries = now, now
	return []endive.Action{k.decision("", "recheck", "the wake-up came late, as after a pause")}
}

// pauseBound is how late a wake-up may come without a pause.
const pauseBound = endive.Interval(time.Second)

// alone reports whether no other entry is registered or known.
func (k *Keeper) alone() bool {
	for _, entry := range k.registry.entries() {
		if entry != k.self {
			return false
		}
	}
	for _, p := range k.view.Peers {
		if p.ID != k.self && p.State != endive.MemberGone {
			return false
		}
	}
	return k.entries.Answered() > 0
}

// publish gives the other machines the configuration, if it changed.
func (k *Keeper) publish(now time.Time) []endive.Action {
	if !k.contents.whole {
		return nil
	}
	k.grants.expire(now)
	revision := k.grants.confirmable(k.contents.held())
	if now.Before(k.formerUntil) {
		revision = 0
	}
	revision = max(revision, k.published.Revision)
	if k.published.Resources != nil && revision == k.published.Revision && !k.contents.changed {
		return nil
	}
	k.contents.changed = false
	k.published = k.contents.config(revision)
	k.confirm(k.self, k.incarnation, revision)
	return []endive.Action{endive.PublishConfig{Config: k.published}}
}

// confirm notes what an entry has in force.
func (k *Keeper) confirm(entry endive.EntryID, incarnation endive.Incarnation, revision endive.Revision) {
	old := k.confirmed[entry]
	if old.incarnation == incarnation {
		revision = max(revision, old.revision)
	}
	k.confirmed[entry] = confirmation{incarnation, revision}
	if entry != k.self {
		k.newest = max(k.newest, revision)
	}
}

// decision returns the log line of a decision.
func (k *Keeper) decision(subject, choice, reason string) endive.Action {
	if subject == "" {
		subject = string(k.self)
	}
	return endive.Decision{Kind: endive.DecisionTicket, Subject: subject, Choice: choice, Reason: reason}
}

// setWake asks for a wake-up when the next thing is due.
func (k *Keeper) setWake(now time.Time) []endive.Action {
	at := earlier(k.nextPoll, k.grants.next())
	if now.Before(k.formerUntil) {
		at = earlier(at, k.formerUntil)
	}
	for _, c := range k.changes {
		for _, w := range c.waiters {
			at = earlier(at, w.deadline)
		}
	}
	if at.Equal(k.wake) {
		return nil
	}
	k.wake = at
	return []endive.Action{endive.SetWake{At: at}}
}

// received takes what a peer says about the configuration.
func (k *Keeper) received(now time.Time, e endive.Received) []endive.Action {
	switch m := e.Message.(type) {
	case *wire.Heartbeat:
		k.confirm(e.From, e.Incarnation, endive.Revision(m.GetConfigRevision()))
		k.newest = max(k.newest, endive.Revision(m.GetKnownRevision()))
	case *wire.TicketNotice:
		k.mergeMessage(m.GetRows())
		k.newest = max(k.newest, endive.Revision(m.GetRevision()))
	case *wire.StateAsk:
		return k.stateAsked(now, e.From, m)
	case *wire.StateAnswer:
		k.stateAnswered(m)
	}
	return nil
}
