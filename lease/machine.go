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
	// maxWakeDelay is the delay of a wake-up above which the process must have been paused.
	maxWakeDelay = endive.Interval(time.Second)
	// retryDelay is the delay before a failed transaction is retried.
	retryDelay = endive.Interval(500 * time.Millisecond)
)

// Machine manages an entry's leases of slices. It implements endive.Machine. Its events are
// HandOver, Released, endive.MembersChanged, endive.ConfigChanged, endive.Scanned,
// endive.Committed, endive.Received and endive.Wake. Its actions are PublishHolders,
// HandedOver, endive.PublishLease, endive.Scan, endive.Commit, endive.Send, endive.Decision
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
	// lastScanAt is when the last successful scan was sent.
	lastScanAt time.Time
	renewal    renewal
	renewAt    time.Time
	nextPoll   time.Time
	// acquireFrom is when this entry may begin to acquire slices. This time
	// delays the acquisition of slices without a holder, which have no lease to
	// wait for.
	acquireFrom time.Time
	holders     Holders
	// stopping is true after HandOver, and stopDeadline is the deadline of that event.
	stopping     bool
	stopDeadline time.Time
	handOverDone bool
	wakeAt       time.Time
}

// New returns the machine of an entry that holds no slice. It starts with its first event,
// such as endive.Wake.
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

// handleWake handles a wake-up. A late wake-up means that the process was paused, so the
// rows are read at once, before any slice is acquired.
func (m *Machine) handleWake(now time.Time) []endive.Action {
	late := !m.wakeAt.IsZero() && now.Sub(m.wakeAt) > time.Duration(maxWakeDelay)
	m.wakeAt = time.Time{}
	if !late {
		return nil
	}
	m.nextPoll = now
	return []endive.Action{endive.Decision{
		Kind: endive.DecisionLease, Subject: string(m.self), Choice: "recheck",
		Reason: "wake-up was late: the process may have been paused",
	}}
}

// updateSlices records which slices have workers.
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

// stateOf returns the state of a slice, creating it if necessary.
func (m *Machine) stateOf(id endive.SliceID) *sliceState {
	s, ok := m.states[id]
	if !ok {
		s = &sliceState{slice: endive.Slice{ID: id}}
		m.states[id] = s
	}
	return s
}

// sortedStates returns the states of all slices, sorted by slice ID.
func (m *Machine) sortedStates() []*sliceState {
	list := make([]*sliceState, 0, len(m.states))
	for _, s := range m.states {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].slice.ID < list[j].slice.ID })
	return list
}

// handleReceived handles the offer of a slice, or the successor's answer to an offer.
func (m *Machine) handleReceived(now time.Time, e endive.Received) []endive.Action {
	switch message := e.Message.(type) {
	case *wire.SliceOffer:
		_, actions := m.scanner.Request(now)
		return actions
	case *wire.SliceAnswer:
		s, ok := m.states[endive.SliceID(message.GetSlice())]
		if ok && s.stage == stageTransferred && e.From == s.successor && message.GetEpoch() == uint64(s.row.Epoch) {
			s.stage = stageNotHeld
		}
	}
	return nil
}

// pollRows requests a scan of the slices' rows if the poll interval has passed.
func (m *Machine) pollRows(now time.Time) []endive.Action {
	if now.Before(m.nextPoll) {
		return nil
	}
	m.nextPoll = m.settings.Poll.After(now)
	_, actions := m.scanner.Request(now)
	return actions
}

// publishHolders publishes the holders of all slices if they have changed.
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

// setWake requests a wake-up for the earliest of the next poll, renewal, retry, expiry of a
// lease being released, and stop deadline.
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

// newDecision returns the action that logs a decision on a slice.
func newDecision(s *sliceState, choice, reason string) endive.Action {
	return endive.Decision{
		Kind: endive.DecisionLease, Subject: string(s.slice.ID), Choice: choice, Reason: reason,
	}
}
