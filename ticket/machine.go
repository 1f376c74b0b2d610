package ticket

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/poll"
	"endiveroute.example/endive/wire"
)

// Machine is the state machine that manages the configuration of an entry. Its events
// are Apply, ShowConfig, Unregister, endive.Scanned, endive.Fetched, endive.Committed,
// endive.Received, endive.MembersChanged and endive.Wake; its actions ApplyResult,
// ConfigResult, Unregistered, endive.Scan, endive.Fetch, endive.Commit, endive.Send,
// endive.PublishConfig, endive.Decision and endive.SetWake.
type Machine struct {
	settings    Settings
	self        endive.EntryID
	incarnation endive.Incarnation
	ids         *endive.WriteIDs

	known  knownConfig
	config *poll.Scanner
	grants grants
	// previousGrantsEnd is when the last grant that a previous incarnation of this
	// entry may have issued ends; zero once the table shows that no other incarnation
	// is registered.
	previousGrantsEnd time.Time
	// published is the configuration that was last passed to the entry's other state
	// machines. Its revision is the one that this entry has confirmed.
	published endive.Config
	// newestAnnounced is the newest revision that a peer has announced.
	// newestRequested is the newest announced revision that has triggered an immediate
	// scan of the table.
	newestAnnounced, newestRequested endive.Revision

	registry     registry
	entries      *poll.Scanner
	registration registration
	// removalWrite is the pending transaction that revokes the registration of an
	// entry that is gone.
	removalWrite endive.WriteID

	members       endive.MembersChanged
	confirmed     map[endive.EntryID]confirmation
	stateRequests stateRequests
	rollouts      []*rollout

	nextPoll        time.Time
	nextEntriesPoll time.Time
	// unregisteredPolls counts the polls since the entry was last registered.
	unregisteredPolls int
	wake              time.Time
	started           bool
}

// confirmation is the newest revision that an incarnation of an entry has confirmed.
type confirmation struct {
	incarnation endive.Incarnation
	revision    endive.Revision
}

// New returns the machine of an entry that has just started. It starts to work at the
// first endive.Wake.
func New(settings Settings, self endive.EntryID, incarnation endive.Incarnation) *Machine {
	settings.Defaults()
	return &Machine{
		settings:      settings,
		self:          self,
		incarnation:   incarnation,
		ids:           endive.NewWriteIDs(self, incarnation, "ticket"),
		known:         knownConfig{rows: make(map[endive.ResourceKey]configRow), unreadable: make(map[endive.ResourceKey]endive.Revision)},
		config:        poll.NewScanner(configPrefix),
		grants:        grants{ends: make(map[endive.Revision]time.Time)},
		registry:      registry{rows: make(map[endive.EntryID]*entryRow)},
		entries:       poll.NewScanner(entryPrefix),
		confirmed:     make(map[endive.EntryID]confirmation),
		stateRequests: stateRequests{sent: make(map[uint64]time.Time)},
	}
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	actions := m.beforeEvent(now)
	switch e := event.(type) {
	case Apply:
		actions = append(actions, m.apply(now, e)...)
	case ShowConfig:
		actions = append(actions, m.showConfig(e)...)
	case Unregister:
		m.registration.stopping = true
	case endive.Scanned:
		actions = append(actions, m.handleScanned(now, e)...)
	case endive.Fetched:
		actions = append(actions, m.handleFetched(now, e)...)
	case endive.Committed:
		actions = append(actions, m.handleCommitted(now, e)...)
	case endive.Received:
		actions = append(actions, m.handleReceived(now, e)...)
	case endive.MembersChanged:
		m.members = e
		for _, p := range e.Peers {
			m.recordConfirmed(p.ID, p.Incarnation, p.ConfigRevision)
		}
	case endive.Wake:
		actions = append(actions, m.handleWake(now)...)
	}
	return append(actions, m.afterEvent(now)...)
}

// Ready reports whether the entry may serve clients now. Its configuration must
// be complete and known to be current, so that no ticket can be in force that
// the entry lacks. The entry calls Ready before it accepts a request.
func (m *Machine) Ready(now time.Time) bool {
	return m.known.complete && !m.registration.stopping && now.Before(m.registration.validUntil)
}

// beforeEvent checks before each event whether the registration has expired, as it may
// have if the process was paused.
func (m *Machine) beforeEvent(now time.Time) []endive.Action {
	if !m.started {
		m.started = true
		m.previousGrantsEnd = (m.settings.GrantDuration + m.settings.ClockMargin).After(now)
	}
	if !m.registration.expire(now) {
		return nil
	}
	return []endive.Action{m.decision("", "unregistered", "no contact with the table or a peer for "+m.settings.ContactTimeout.String())}
}

// afterEvent performs the work that is due after each event.
func (m *Machine) afterEvent(now time.Time) []endive.Action {
	if m.registration.registered && m.isOnlyEntry() {
		m.registration.extend(now, m.settings.ContactTimeout)
	}
	m.registry.trackGone(now, m.members)
	actions := m.poll(now)
	actions = append(actions, m.register(now)...)
	actions = append(actions, m.removeGoneEntry(now)...)
	actions = append(actions, m.publish(now)...)
	actions = append(actions, m.finishRollouts(now)...)
	return append(actions, m.setWake(now)...)
}

// handleWake handles a wake-up. If the wake-up is late, the process was probably
// paused, and the table is read at once.
func (m *Machine) handleWake(now time.Time) []endive.Action {
	late := !m.wake.IsZero() && now.Sub(m.wake) > time.Duration(maxWakeDelay)
	m.wake = time.Time{}
	if !late {
		return nil
	}
	m.nextPoll, m.nextEntriesPoll = now, now
	return []endive.Action{m.decision("", "recheck", "the wake-up came late; the process may have been paused")}
}

// maxWakeDelay is the delay of a wake-up above which the process is assumed to have
// been paused.
const maxWakeDelay = endive.Interval(time.Second)

// isOnlyEntry reports whether no other entry is registered or among the members.
func (m *Machine) isOnlyEntry() bool {
	for _, entry := range m.registry.entries() {
		if entry != m.self {
			return false
		}
	}
	for _, p := range m.members.Peers {
		if p.ID != m.self && p.State != endive.MemberGone {
			return false
		}
	}
	return m.entries.LastSucceeded() > 0
}

// publish passes the configuration to the entry's other state machines if it has
// changed. The revision that it confirms does not exceed a revision that is granted to
// a peer.
func (m *Machine) publish(now time.Time) []endive.Action {
	if !m.known.complete {
		return nil
	}
	m.grants.expire(now)
	revision := m.grants.confirmable(m.known.completeRevision())
	if now.Before(m.previousGrantsEnd) {
		revision = 0
	}
	revision = max(revision, m.published.Revision)
	if m.published.Resources != nil && revision == m.published.Revision && !m.known.changed {
		return nil
	}
	m.known.changed = false
	m.published = m.known.config(revision)
	m.recordConfirmed(m.self, m.incarnation, revision)
	return []endive.Action{endive.PublishConfig{Config: m.published}}
}

// recordConfirmed records the revision that an entry has confirmed. The revision of
// one incarnation never decreases.
func (m *Machine) recordConfirmed(entry endive.EntryID, incarnation endive.Incarnation, revision endive.Revision) {
	old := m.confirmed[entry]
	if old.incarnation == incarnation {
		revision = max(revision, old.revision)
	}
	m.confirmed[entry] = confirmation{incarnation, revision}
	if entry != m.self {
		m.newestAnnounced = max(m.newestAnnounced, revision)
	}
}

// decision returns a log entry about a ticket. An empty subject stands for this entry.
func (m *Machine) decision(subject, choice, reason string) endive.Action {
	if subject == "" {
		subject = string(m.self)
	}
	return endive.Decision{Kind: endive.DecisionTicket, Subject: subject, Choice: choice, Reason: reason}
}

// setWake schedules a wake-up for the next poll, end of a grant or deadline.
func (m *Machine) setWake(now time.Time) []endive.Action {
	at := earlier(m.nextPoll, m.grants.firstEnd())
	if now.Before(m.previousGrantsEnd) {
		at = earlier(at, m.previousGrantsEnd)
	}
	for _, r := range m.rollouts {
		for _, w := range r.waiters {
			at = earlier(at, w.deadline)
		}
	}
	if at.Equal(m.wake) {
		return nil
	}
	m.wake = at
	return []endive.Action{endive.SetWake{At: at}}
}

// handleReceived handles the messages from peers that concern the configuration.
func (m *Machine) handleReceived(now time.Time, e endive.Received) []endive.Action {
	switch message := e.Message.(type) {
	case *wire.Heartbeat:
		m.recordConfirmed(e.From, e.Incarnation, endive.Revision(message.GetConfigRevision()))
		m.newestAnnounced = max(m.newestAnnounced, endive.Revision(message.GetKnownRevision()))
	case *wire.TicketNotice:
		m.mergeRows(message.GetRows())
		m.newestAnnounced = max(m.newestAnnounced, endive.Revision(message.GetRevision()))
	case *wire.StateAsk:
		return m.handleStateAsk(now, e.From, message)
	case *wire.StateAnswer:
		m.handleStateAnswer(message)
	}
	return nil
}
