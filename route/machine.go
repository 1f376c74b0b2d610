package route

import (
	"time"

	"endiveroute.example/endive"
)

// Machine routes the requests of one entry. Its events are ClientRequest,
// Abandon, AttemptResult, Drain, Snapshot, endive.ConfigChanged,
// endive.MembersChanged, endive.Wake, and endive.Received with slot messages.
// Its actions are Dispatch, CancelCall, Answer, Drained, State,
// ExecutorLeaving, endive.Send, endive.Decision and endive.SetWake.
type Machine struct {
	settings Settings
	slots    endive.Slots
	router   endive.Router

	config endive.Config
	self   endive.Peer
	// entryCount is the number of entries that are not in state gone.
	entryCount int
	services   map[endive.ServiceName]*service
	executors  map[endive.ExecutorID]*executor
	clients    map[endive.RequestID]*client
	attempts   map[endive.AttemptID]*attempt
	timers     timers
	// crossRegionBudget limits the bytes sent between regions.
	crossRegionBudget tokenBucket

	attemptSeq   uint64
	executionSeq uint64
	draining     bool
	drained      bool
	// slotsWakeAt is the wake-up time that the slots machine requested.
	slotsWakeAt time.Time
	// wakeAt is the wake-up time requested last.
	wakeAt time.Time
	// scratch and scratchExecutors are buffers that are reused for each choice,
	// to avoid allocations.
	scratch          endive.Candidates
	scratchExecutors []*executor
	// actions collects the actions of the current step.
	actions []endive.Action
}

// New returns a machine without configuration and executors. The machine owns
// the given slots machine and forwards events, messages and wake-ups to it.
func New(settings Settings, slots endive.Slots, router endive.Router) *Machine {
	return &Machine{
		settings:  settings,
		slots:     slots,
		router:    router,
		services:  make(map[endive.ServiceName]*service),
		executors: make(map[endive.ExecutorID]*executor),
		clients:   make(map[endive.RequestID]*client),
		attempts:  make(map[endive.AttemptID]*attempt),
	}
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.actions = nil
	m.fireTimers(now)
	switch e := event.(type) {
	case ClientRequest:
		m.handleRequest(now, e)
	case Abandon:
		m.handleAbandon(now, e)
	case AttemptResult:
		m.handleResult(now, e)
	case Drain:
		m.draining = true
	case Snapshot:
		m.emit(m.buildState(now, e.Tag))
	case endive.ConfigChanged:
		m.forwardSlotActions(m.slots.Step(now, e))
		m.applyConfig(now, e.Config)
	case endive.MembersChanged:
		m.forwardSlotActions(m.slots.Step(now, e))
		m.applyMembers(now, e)
	case endive.Received:
		m.forwardSlotActions(m.slots.Step(now, e))
		m.dispatchAll(now)
	case endive.Wake:
		m.wakeAt = time.Time{}
	}
	m.wakeSlots(now)
	m.timers.compact(m.liveTimer)
	m.finishDrain()
	m.setWake(now)
	return m.actions
}

// emit adds an action to the current step's actions.
func (m *Machine) emit(action endive.Action) { m.actions = append(m.actions, action) }

// logDecision emits a decision for the log.
func (m *Machine) logDecision(kind endive.DecisionKind, subject, choice, reason string) {
	m.emit(endive.Decision{Kind: kind, Subject: subject, Choice: choice, Reason: reason})
}

// forwardSlotActions emits the actions of the slots machine, but merges the
// wake-up that it requests into this machine's wake-up.
func (m *Machine) forwardSlotActions(actions []endive.Action) {
	for _, action := range actions {
		if wake, ok := action.(endive.SetWake); ok {
			m.slotsWakeAt = wake.At
			continue
		}
		m.emit(action)
	}
}

// wakeSlots wakes the slots machine if the wake-up time that it requested has
// come.
func (m *Machine) wakeSlots(now time.Time) {
	if m.slotsWakeAt.IsZero() || m.slotsWakeAt.After(now) {
		return
	}
	m.slotsWakeAt = time.Time{}
	m.forwardSlotActions(m.slots.Step(now, endive.Wake{}))
	m.dispatchAll(now)
}

// setWake requests the next wake-up, unless that wake-up is already requested.
func (m *Machine) setWake(now time.Time) {
	next := m.timers.next()
	if next.IsZero() || !m.slotsWakeAt.IsZero() && m.slotsWakeAt.Before(next) {
		next = m.slotsWakeAt
	}
	if next.IsZero() || next.Equal(m.wakeAt) {
		return
	}
	if next.Before(now) {
		next = now
	}
	m.wakeAt = next
	m.emit(endive.SetWake{At: next})
}

// finishDrain emits Drained once, when a Drain was requested and no requests or
// attempts are left.
func (m *Machine) finishDrain() {
	if !m.draining || m.drained || len(m.clients) > 0 || len(m.attempts) > 0 {
		return
	}
	m.drained = true
	m.emit(Drained{})
}
