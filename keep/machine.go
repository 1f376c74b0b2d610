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
		if r := m.keys[key]; r != nil {
			actions = append(actions, m.handleDue(now, r)...)
		}
	}
	return append(actions, m.setWake()...)
}

// Unrecorded returns the number of this entry's requests that are running or whose
// outcome is not recorded yet. A planned stop waits until it is 0.
func (m *Machine) Unrecorded() int {
	n := 0
	for _, r := range m.keys {
		switch r.phase {
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
	r := m.keys[key]
	if r == nil {
		r = m.addKey(key)
	}
	if r == nil {
		rejected.Reason = fmt.Sprintf("%d idempotency keys are already in use", m.settings.MaxKeys)
		return []endive.Action{rejected}
	}
	r.waiters = append(r.waiters, w)
	m.timers.add(e.Deadline, key)
	return m.serveNewest(now, r)
}

// handleLookup handles a client's lookup of an outcome.
func (m *Machine) handleLookup(now time.Time, e Lookup) []endive.Action {
	key := intentKey(e.Service, e.Key)
	r := m.keys[key]
	if r == nil {
		r = m.addKey(key)
	}
	if r == nil {
		return []endive.Action{Result{Tag: e.Tag, Unavailable: true, RetryAt: m.settings.RetryDelay.After(now)}}
	}
	w := waiter{tag: e.Tag, isLookup: true, deadline: m.settings.RetryDelay.After(now)}
	r.waiters = append(r.waiters, w)
	m.timers.add(w.deadline, key)
	return m.serveNewest(now, r)
}

// addKey adds the state of a key. It returns nil if MaxKeys is reached.
func (m *Machine) addKey(key string) *keyState {
	if len(m.keys) >= m.settings.MaxKeys {
		return nil
	}
	r := &keyState{key: key, pollDelay: m.settings.PollInterval}
	m.keys[key] = r
	return r
}

// serveNewest handles the waiter that was added last, according to the phase.
func (m *Machine) serveNewest(now time.Time, r *keyState) []endive.Action {
	newest := &r.waiters[len(r.waiters)-1]
	newest.readTooEarly = newest.isLookup && r.phase.awaitsTable()
	switch r.phase {
	case phaseIdle:
		return m.start(now, r)
	case phaseRunning:
		return m.resolvePending(now, r)
	case phaseStoringBody, phaseWritingOutcome:
		if r.nextRow.State == stateNotRun {
			return nil
		}
		return m.answerOutcome(r)
	case phasePolling:
		if newest.isLookup || len(r.waiters) == 1 {
			return m.readRow(r)
		}
	}
	return nil
}

// start starts the work on a key that is idle.
func (m *Machine) start(now time.Time, r *keyState) []endive.Action {
	if w, ok := r.firstRunnable(now); ok {
		return m.writeIntent(now, r, w)
	}
	return m.readRow(r)
}

// readRow reads the key's row from the table.
func (m *Machine) readRow(r *keyState) []endive.Action {
	r.phase = phaseReading
	r.dueAt = time.Time{}
	return []endive.Action{endive.Fetch{Keys: []string{r.key}}}
}

// handleDue returns results to the waiters whose deadline has passed, and continues
// the phase if it is due.
func (m *Machine) handleDue(now time.Time, r *keyState) []endive.Action {
	actions := r.answerWaiters(m.pendingResult(now), func(w waiter) bool { return !now.Before(w.deadline) })
	if r.dueAt.IsZero() || now.Before(r.dueAt) {
		m.dropIfIdle(now, r)
		return actions
	}
	r.dueAt = time.Time{}
	switch r.phase {
	case phasePolling:
		actions = append(actions, m.reread(now, r)...)
	case phaseStoringBody:
		actions = append(actions, m.storeBody(r)...)
	case phaseWritingOutcome:
		actions = append(actions, m.writeOutcome(r)...)
	}
	m.dropIfIdle(now, r)
	return actions
}

// schedule sets a timer that continues the phase after a delay.
func (m *Machine) schedule(now time.Time, r *keyState, delay endive.Interval) {
	r.dueAt = delay.After(now)
	m.timers.add(r.dueAt, r.key)
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
func decision(r *keyState, choice, reason string) endive.Action {
	return endive.Decision{Kind: endive.DecisionOutcome, Subject: r.key, Choice: choice, Reason: reason}
}
