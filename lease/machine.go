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
	// maxWakeDelay is how late a wake-up may come without a pause.
	maxWakeDelay = endive.Interval(time.Second)
	// retryDelay is how long a transaction that failed waits for its next try.
	retryDelay = endive.Interval(500 * time.Millisecond)
)

// Machine holds the leases of an entry. Its events are HandOver, Released,
// endive.MembersChanged, endive.ConfigChanged, endive.Scanned, endive.Committed,
// endive.Received and endive.Wake; its actions HoldersUpdated, HandedOver,
// endive.PublishLease, endive.Scan, endive.Commit, endive.Send, endive.Decision
// and endive.SetWake.
type Machine struct {
	settings    Settings
	self        endive.EntryID
	incarnation endive.Incarnation
	ids         *endive.WriteIDs

	members endive.MembersChanged
	config  endive.Config
	states  map[endive.SliceID]*sliceState
	scanner *poll.Scanner
	// lastScanAt is when the newest scan that gave rows was sent.
	lastScanAt time.Time
	renewal    renewal
	renewAt    time.Time
	nextPoll   time.Time
	// acquireFrom is when slices that nobody ever held may be taken.
	acquireFrom time.Time
	holders     Holders
	// stopping is set by HandOver, deadline is its own.
	stopping     bool
	stopDeadline time.Time
	handOverDone bool
	wakeAt       time.Time
}

// New returns the keeper of an entry that holds nothing. It needs one
// endive.Wake to begin.
func New(settings Settings, self endive.EntryID, incarnation endive.Incarnation) *Machine {
	settings.Defaults()
	return &Machine{
		settings:    settings,
		self:        self,
		incarnation: incarnation,
		ids:         endive.NewWriteIDs(self, incarnation, "lease"),
		states:      make(map[endive.SliceID]*sliceState),
		scanner:     poll.NewScanner(slicePrefix),
	}
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	if m.acquireFrom.IsZero() {
		m.acquireFrom = m.settings.Stagger.After(now)
	}
	var actions []endive.Action
	switch e := event.(type) {
	case HandOver:
		actions = m.beginStop(e)
	case Released:
		m.handleReleased(e.Slice)
	case endive.MembersChanged:
		m.members = e
		m.updateSlices()
	case endive.ConfigChanged:
		m.config = e.Config
		m.updateSlices()
	case endive.Scanned:
		actions = m.handleScanned(now, e)
	case endive.Committed:
		actions = m.handleCommitted(now, e)
	case endive.Received:
		actions = m.handleReceived(now, e)
	case endive.Wake:
		actions = m.handleWake(now)
	}
	actions = append(actions, m.pollRows(now)...)
	actions = append(actions, m.renew(now)...)
	actions = append(actions, m.handOver(now)...)
	actions = append(actions, m.publishHolders()...)
	return append(actions, m.setWake(now)...)
}

// handleWake takes a wake-up. One that comes much too late means that the process
// was paused: the rows are read before anything is taken.
func (m *Machine) handleWake(now time.Time) []endive.Action {
	late := !m.wakeAt.IsZero() && now.Sub(m.wakeAt) > time.Duration(maxWakeDelay)
	m.wakeAt = time.Time{}
	if !late {
		return nil
	}
	m.nextPoll = now
	return []endive.Action{endive.Decision{
		Kind: endive.DecisionLease, Subject: string(m.self), Choice: "recheck",
		Reason: "the wake-up came late, as after a pause",
	}}
}

// updateSlices notes which slices have workers.
func (m *Machine) updateSlices() {
	for _, s := range m.states {
		s.hasWorkers = false
	}
	for _, slice := range endive.Slices(m.members.Endpoints, m.config) {
		s := m.stateOf(slice.ID)
		s.slice = slice
		s.hasWorkers = true
	}
}

// stateOf returns what is known of a slice.
func (m *Machine) stateOf(id endive.SliceID) *sliceState {
	s, ok := m.states[id]
	if !ok {
		s = &sliceState{slice: endive.Slice{ID: id}}
		m.states[id] = s
	}
	return s
}

// sortedStates returns all tenures in the order of the slices' ids.
func (m *Machine) sortedStates() []*sliceState {
	list := make([]*sliceState, 0, len(m.states))
	for _, s := range m.states {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].slice.ID < list[j].slice.ID })
	return list
}

// handleReceived takes an offer of a slice, or the answer to one.
func (k *Machine) handleReceived(now time.Time, e endive.Received) []endive.Action {
	switch m := e.Message.(type) {
	case *wire.SliceOffer:
		_, actions := k.scanner.Request(now)
		return actions
	case *wire.SliceAnswer:
		s, ok := k.states[endive.SliceID(m.GetSlice())]
		if ok && s.stage == stageTransferred && e.From == s.successor && m.GetEpoch() == uint64(s.row.Epoch) {
			s.stage = stageNotHeld
		}
	}
	return nil
}

// pollRows reads the rows when it is time.
func (m *Machine) pollRows(now time.Time) []endive.Action {
	if now.Before(m.nextPoll) {
		return nil
	}
	m.nextPoll = m.settings.Poll.After(now)
	_, actions := m.scanner.Request(now)
	return actions
}

// publishHolders tells who holds which slice, if it changed.
func (m *Machine) publishHolders() []endive.Action {
	var holders Holders
	for _, s := range m.sortedStates() {
		if s.epochVersion > 0 {
			holders = append(holders, Holder{Slice: s.slice.ID, Entry: s.row.Holder, Epoch: s.row.Epoch})
		}
	}
	if slices.Equal(holders, m.holders) {
		return nil
	}
	m.holders = holders
	return []endive.Action{PublishHolders{Holders: holders}}
}

// setWake asks for a wake-up when the next thing is due.
func (m *Machine) setWake(now time.Time) []endive.Action {
	at := m.nextPoll
	wakeBy := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	wakeBy(m.renewAt)
	if m.stopping && !m.handOverDone {
		wakeBy(m.stopDeadline)
	}
	for _, s := range m.states {
		wakeBy(s.retryAt)
		if s.stage == stageReleasing {
			wakeBy(s.leaseEnd)
		}
	}
	if at.Equal(m.wakeAt) {
		return nil
	}
	m.wakeAt = at
	return []endive.Action{endive.SetWake{At: at}}
}

// newDecision returns the log line of a newDecision on a slice.
func newDecision(s *sliceState, choice, reason string) endive.Action {
	return endive.Decision{
		Kind: endive.DecisionLease, Subject: string(s.slice.ID), Choice: choice, Reason: reason,
	}
}
