package keep

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// Machine keeps the outcomes of non-idempotent requests at an entry. Its events
// are Begin, Done, Lookup, ObjectStored, ObjectFetched, endive.Committed,
// endive.Fetched and endive.Wake; its actions Proceed, Answer, StoreObject,
// FetchObject, endive.Commit, endive.Fetch, endive.Decision and endive.SetWake.
type Machine struct {
	settings Settings
	self     endive.EntryID
	ids      *endive.WriteIDs
	records  map[string]*record
	// writes, requests and objects find the record of an event.
	writes   map[endive.WriteID]*record
	requests map[endive.RequestID]*record
	objects  map[string]*record
	timers   timers
	wake     time.Time
}

// New returns the keeper of an entry that has no request at work.
func New(settings Settings, self endive.EntryID, incarnation endive.Incarnation) *Machine {
	settings.Defaults()
	return &Machine{
		settings: settings,
		self:     self,
		ids:      endive.NewWriteIDs(self, incarnation, "keep"),
		records:  make(map[string]*record),
		writes:   make(map[endive.WriteID]*record),
		requests: make(map[endive.RequestID]*record),
		objects:  make(map[string]*record),
	}
}

// Step implements endive.Machine.
func (k *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	var actions []endive.Action
	switch e := event.(type) {
	case BeginRequest:
		actions = k.begin(now, e)
	case RequestDone:
		actions = k.done(now, e)
	case Lookup:
		actions = k.lookup(now, e)
	case ObjectStored:
		actions = k.objectStored(now, e)
	case ObjectFetched:
		actions = k.objectFetched(now, e)
	case endive.Committed:
		actions = k.committed(now, e)
	case endive.Fetched:
		actions = k.fetched(now, e)
	case endive.Wake:
		k.wake = time.Time{}
	}
	for {
		key, ok := k.timers.due(now)
		if !ok {
			break
		}
		if r := k.records[key]; r != nil {
			actions = append(actions, k.due(now, r)...)
		}
	}
	return append(actions, k.setWake()...)
}

// Unrecorded returns how many requests of this entry run or have an outcome that
// isn't recorded yet. A planned stop waits until there are none.
func (k *Machine) Unrecorded() int {
	n := 0
	for _, r := range k.records {
		switch r.phase {
		case phaseIntending, phaseRunning, phaseStoring, phaseRecording:
			n++
		}
	}
	return n
}

// begin takes a caller's request.
func (k *Machine) begin(now time.Time, e BeginRequest) []endive.Action {
	key := intentKey(e.Service, e.Key)
	w := waiter{tag: e.Tag, request: e.Request, digest: e.Digest, deadline: e.Deadline}
	refused := Result{Tag: e.Tag, Outcome: endive.NotRun, AttemptOnly: true, RetryAt: k.settings.Retry.After(now)}
	if !now.Before(e.Deadline) {
		refused.Reason = "the deadline has passed"
		return []endive.Action{refused}
	}
	r := k.records[key]
	if r == nil {
		r = k.add(key)
	}
	if r == nil {
		refused.Reason = fmt.Sprintf("%d keys are at work already", k.settings.MaxKeys)
		return []endive.Action{refused}
	}
	r.waiters = append(r.waiters, w)
	k.timers.add(e.Deadline, key)
	return k.join(now, r)
}

// lookup takes a caller's question for an outcome.
func (k *Machine) lookup(now time.Time, e Lookup) []endive.Action {
	key := intentKey(e.Service, e.Key)
	r := k.records[key]
	if r == nil {
		r = k.add(key)
	}
	if r == nil {
		return []endive.Action{Result{Tag: e.Tag, Unavailable: true, RetryAt: k.settings.Retry.After(now)}}
	}
	w := waiter{tag: e.Tag, lookup: true, deadline: k.settings.Retry.After(now)}
	r.waiters = append(r.waiters, w)
	k.timers.add(w.deadline, key)
	return k.join(now, r)
}

// add returns a new record; nil where there are too many.
func (k *Machine) add(key string) *record {
	if len(k.records) >= k.settings.MaxKeys {
		return nil
	}
	r := &record{key: key, pause: k.settings.Poll}
	k.records[key] = r
	return r
}

// join does for the newest waiter what the phase asks for.
func (k *Machine) join(now time.Time, r *record) []endive.Action {
	newest := &r.waiters[len(r.waiters)-1]
	newest.late = newest.lookup && r.phase.awaitsTable()
	switch r.phase {
	case phaseIdle:
		return k.idle(now, r)
	case phaseRunning:
		return k.resolvePending(now, r)
	case phaseStoring, phaseRecording:
		if r.next.State == stateNotRun {
			return nil
		}
		return k.tellOutcome(r)
	case phaseWatching:
		if newest.lookup || len(r.waiters) == 1 {
			return k.read(r)
		}
	}
	return nil
}

// idle begins the work on a key that has nothing on its way.
func (k *Machine) idle(now time.Time, r *record) []endive.Action {
	if w, ok := r.candidate(now); ok {
		return k.intend(now, r, w)
	}
	return k.read(r)
}

// read reads the row.
func (k *Machine) read(r *record) []endive.Action {
	r.phase = phaseReading
	r.actAt = time.Time{}
	return []endive.Action{endive.Fetch{Keys: []string{r.key}}}
}

// due answers the waiters whose deadline has come, and goes on with the phase.
func (k *Machine) due(now time.Time, r *record) []endive.Action {
	actions := r.answerAll(k.pending(now), func(w waiter) bool { return !now.Before(w.deadline) })
	if r.actAt.IsZero() || now.Before(r.actAt) {
		k.tidy(now, r)
		return actions
	}
	r.actAt = time.Time{}
	switch r.phase {
	case phaseWatching:
		actions = append(actions, k.look(now, r)...)
	case phaseStoring:
		actions = append(actions, k.store(r)...)
	case phaseRecording:
		actions = append(actions, k.write(r)...)
	}
	k.tidy(now, r)
	return actions
}

// after lets the phase go on by itself after a while.
func (k *Machine) after(now time.Time, r *record, while endive.Interval) {
	r.actAt = while.After(now)
	k.timers.add(r.actAt, r.key)
}

// pending returns the answer for whoever can't wait any longer.
func (k *Machine) pending(now time.Time) Result {
	return Result{
		Outcome: endive.Unknown, Pending: true, RetryAt: k.settings.Retry.After(now),
		Reason: "no outcome is recorded yet",
	}
}

// setWake asks for a wake-up when the next record has something to do.
func (k *Machine) setWake() []endive.Action {
	if len(k.timers) == 0 || k.timers[0].at.Equal(k.wake) {
		return nil
	}
	k.wake = k.timers[0].at
	return []endive.Action{endive.SetWake{At: k.wake}}
}

// decision returns the log line of a decision on a key.
func decision(r *record, choice, reason string) endive.Action {
	return endive.Decision{Kind: endive.DecisionOutcome, Subject: r.key, Choice: choice, Reason: reason}
}
