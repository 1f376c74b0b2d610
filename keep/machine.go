package keep

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// Machine is the state machine that records the outcomes of non-idempotent requests at
// an entry. Its events are BeginRequest, RequestDone, Lookup, ObjectStored,
// ObjectFetched, endive.Committed, endive.Fetched and endive.Wake; its actions
// SendRequest, Result, StoreObject, FetchObject, endive.Commit, endive.Fetch,
// endive.Decision and endive.SetWake.
type Machine struct {
	settings Settings
	self     endive.EntryID
	ids      *endive.WriteIDs
	keys     map[string]*keyState
	// writes, requests and objects map the IDs in events to the key's state.
	writes   map[endive.WriteID]*keyState
	requests map[endive.RequestID]*keyState
	objects  map[string]*keyState
	timers   timers
	wake     time.Time
}

// New returns the machine of an entry without requests in progress.
func New(settings Settings, self endive.EntryID, incarnation endive.Incarnation) *Machine {
	settings.Defaults()
	return &Machine{
		settings: settings,
		self:     self,
		ids:      endive.NewWriteIDs(self, incarnation, "keep"),
		keys:     make(map[string]*keyState),
		writes:   make(map[endive.WriteID]*keyState),
		requests: make(map[endive.RequestID]*keyState),
		objects:  make(map[string]*keyState),
	}
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	var actions []endive.Action
	switch e := event.(type) {
	case BeginRequest:
		actions = m.handleBegin(now, e)
	case RequestDone:
		actions = m.handleDone(now, e)
	case Lookup:
		actions = m.handleLookup(now, e)
	case ObjectStored:
		actions = m.handleObjectStored(now, e)
	case ObjectFetched:
		actions = m.handleObjectFetched(now, e)
	case endive.Committed:
		actions = m.handleCommitted(now, e)
	case endive.Fetched:
		actions = m.handleFetched(now, e)
	case endive.Wake:
		m.wake = time.Time{}
	}
	for {
		key, ok := m.timers.popDue(now)
		if !ok {
			break
		}
		if s := m.keys[key]; s != nil {
			actions = append(actions, m.handleDue(now, s)...)
		}
	}
	return append(actions, m.setWake()...)
}

// Unrecorded returns the number of this entry's requests that are running or whose
// outcome is not recorded yet. A planned stop waits until it is 0.
func (m *Machine) Unrecorded() int {
	n := 0
	for _, s := range m.keys {
		switch s.phase {
		case phaseWritingIntent, phaseRunning, phaseStoringBody, phaseWritingOutcome:
			n++
		}
	}
	return n
}

// handleBegin handles a client's request.
func (m *Machine) handleBegin(now time.Time, e BeginRequest) []endive.Action {
	key := intentKey(e.Service, e.Key)
	w := waiter{tag: e.Tag, request: e.Request, digest: e.Digest, deadline: e.Deadline}
	rejected := Result{Tag: e.Tag, Outcome: endive.NotRun, AttemptOnly: true, RetryAt: m.settings.RetryDelay.After(now)}
	if !now.Before(e.Deadline) {
		rejected.Reason = "the deadline has passed"
		return []endive.Action{rejected}
	}
	s := m.keys[key]
	if s == nil {
		s = m.addKey(key)
	}
	if s == nil {
		rejected.Reason = fmt.Sprintf("%d idempotency keys are already in use", m.settings.MaxKeys)
		return []endive.Action{rejected}
	}
	s.waiters = append(s.waiters, w)
	m.timers.add(e.Deadline, key)
	return m.serveNewest(now, s)
}

// handleLookup handles a client's lookup of an outcome.
func (m *Machine) handleLookup(now time.Time, e Lookup) []endive.Action {
	key := intentKey(e.Service, e.Key)
	s := m.keys[key]
	if s == nil {
		s = m.addKey(key)
	}
	if s == nil {
		return []endive.Action{Result{Tag: e.Tag, Unavailable: true, RetryAt: m.settings.RetryDelay.After(now)}}
	}
	w := waiter{tag: e.Tag, isLookup: true, deadline: m.settings.RetryDelay.After(now)}
	s.waiters = append(s.waiters, w)
	m.timers.add(w.deadline, key)
	return m.serveNewest(now, s)
}

// addKey adds the state of a key. It returns nil if MaxKeys is reached.
func (m *Machine) addKey(key string) *keyState {
	if len(m.keys) >= m.settings.MaxKeys {
		return nil
	}
	s := &keyState{key: key, pollDelay: m.settings.PollInterval}
	m.keys[key] = s
	return s
}

// serveNewest handles the waiter that was added last, according to the phase.
func (m *Machine) serveNewest(now time.Time, s *keyState) []endive.Action {
	newest := &s.waiters[len(s.waiters)-1]
	newest.readTooEarly = newest.isLookup && s.phase.awaitsTable()
	switch s.phase {
	case phaseIdle:
		return m.start(now, s)
	case phaseRunning:
		return m.resolvePending(now, s)
	case phaseStoringBody, phaseWritingOutcome:
		if s.nextRow.State == stateNotRun {
			return nil
		}
		return m.answerOutcome(s)
	case phasePolling:
		if newest.isLookup || len(s.waiters) == 1 {
			return m.readRow(s)
		}
	}
	return nil
}

// start starts the work on a key that is idle.
func (m *Machine) start(now time.Time, s *keyState) []endive.Action {
	if w, ok := s.firstRunnable(now); ok {
		return m.writeIntent(now, s, w)
	}
	return m.readRow(s)
}

// readRow reads the key's row from the table.
func (m *Machine) readRow(s *keyState) []endive.Action {
	s.phase = phaseReading
	s.dueAt = time.Time{}
	return []endive.Action{endive.Fetch{Keys: []string{s.key}}}
}

// handleDue returns results to the waiters whose deadline has passed, and continues
// the phase if it is due.
func (m *Machine) handleDue(now time.Time, s *keyState) []endive.Action {
	actions := s.answerWaiters(m.pendingResult(now), func(w waiter) bool { return !now.Before(w.deadline) })
	if s.dueAt.IsZero() || now.Before(s.dueAt) {
		m.dropIfIdle(now, s)
		return actions
	}
	s.dueAt = time.Time{}
	switch s.phase {
	case phasePolling:
		actions = append(actions, m.reread(now, s)...)
	case phaseStoringBody:
		actions = append(actions, m.storeBody(s)...)
	case phaseWritingOutcome:
		actions = append(actions, m.writeOutcome(s)...)
	}
	m.dropIfIdle(now, s)
	return actions
}

// schedule sets a timer that continues the phase after a delay.
func (m *Machine) schedule(now time.Time, s *keyState, delay endive.Interval) {
	s.dueAt = delay.After(now)
	m.timers.add(s.dueAt, s.key)
}

// pendingResult returns the result for waiters whose deadline has passed.
func (m *Machine) pendingResult(now time.Time) Result {
	return Result{
		Outcome: endive.Unknown, Pending: true, RetryAt: m.settings.RetryDelay.After(now),
		Reason: "no outcome is recorded yet",
	}
}

// setWake schedules a wake-up for the earliest timer.
func (m *Machine) setWake() []endive.Action {
	if len(m.timers) == 0 || m.timers[0].at.Equal(m.wake) {
		return nil
	}
	m.wake = m.timers[0].at
	return []endive.Action{endive.SetWake{At: m.wake}}
}

// decision returns a log entry about a key.
func decision(s *keyState, choice, reason string) endive.Action {
	return endive.Decision{Kind: endive.DecisionOutcome, Subject: s.key, Choice: choice, Reason: reason}
}
