package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// loadPeriod is how often an entry tells its peers what it uses.
const loadPeriod = endive.Interval(100 * time.Millisecond)

// Least is the way of guessing: each entry tells its peers now and then what it
// uses, and counts as free what they haven't told of. It goes with a policy that
// takes the less loaded of two. Nothing keeps entries from using the same slot.
type Least struct {
	self   endive.EntryID
	config endive.Config
	view   endive.MembersChanged
	totals map[endive.ExecutorID]int
	used   map[endive.ExecutorID]int
	// heard is what the peers use.
	heard map[endive.EntryID]map[endive.ExecutorID]int
	// told is what the peers were told last.
	told map[endive.ExecutorID]int
	wake time.Time
}

// NewLeast returns the slots of an entry that knows no peers yet.
func NewLeast(self endive.EntryID) *Least {
	return &Least{
		self: self, totals: make(map[endive.ExecutorID]int), used: make(map[endive.ExecutorID]int),
		heard: make(map[endive.EntryID]map[endive.ExecutorID]int), told: make(map[endive.ExecutorID]int),
	}
}

// Step implements endive.Machine for endive.ConfigChanged,
// endive.MembersChanged, endive.Wake, and endive.Received with a
// *wire.SlotReturn.
func (l *Least) Step(now time.Time, event endive.Event) []endive.Action {
	switch e := event.(type) {
	case endive.ConfigChanged:
		l.config = e.Config
		l.count()
	case endive.MembersChanged:
		l.view = e
		l.count()
	case endive.Received:
		if m, ok := e.Message.(*wire.SlotReturn); ok {
			l.hear(e.From, m)
		}
	case endive.Wake:
		l.wake = time.Time{}
		return append(l.tell(), l.setWake(now)...)
	}
	return l.setWake(now)
}

// count works the totals out again.
func (l *Least) count() {
	l.totals = make(map[endive.ExecutorID]int)
	for _, e := range l.view.Endpoints {
		if service, ok := l.config.Service(e.Service); ok && e.Kind == endive.KindExecutor {
			l.totals[endive.ExecutorID(e.ID)] = service.Slots
		}
	}
	live := make(map[endive.EntryID]bool)
	for _, p := range l.view.Peers.Live() {
		live[p.ID] = true
	}
	for id := range l.heard {
		if !live[id] {
			delete(l.heard, id)
		}
	}
}

// hear takes in what a peer uses.
func (l *Least) hear(from endive.EntryID, m *wire.SlotReturn) {
	if l.heard[from] == nil {
		l.heard[from] = make(map[endive.ExecutorID]int)
	}
	for _, h := range m.GetHolds() {
		l.heard[from][endive.ExecutorID(h.GetExecutor())] = int(h.GetSlots())
	}
}

// tell sends the peers what changed.
func (l *Least) tell() []endive.Action {
	var ids []string
	for id := range l.totals {
		if l.used[id] != l.told[id] {
			ids = append(ids, string(id))
		}
	}
	if len(ids) == 0 {
		return nil
	}
	sort.Strings(ids)
	message := &wire.SlotReturn{}
	for _, id := range ids {
		used := l.used[endive.ExecutorID(id)]
		l.told[endive.ExecutorID(id)] = used
		message.Holds = append(message.Holds, &wire.SlotHold{Executor: id, Slots: uint32(used)})
	}
	var actions []endive.Action
	for _, p := range l.view.Peers.Live() {
		if p.ID != l.self {
			actions = append(actions, endive.Send{To: p.ID, Message: message})
		}
	}
	return actions
}

// setWake asks for the next wake-up.
func (l *Least) setWake(now time.Time) []endive.Action {
	if l.wake.After(now) {
		return nil
	}
	l.wake = loadPeriod.After(now)
	return []endive.Action{endive.SetWake{At: l.wake}}
}

// Free implements endive.Slots.
func (l *Least) Free(_ time.Time, executor endive.ExecutorID) int {
	free := l.totals[executor] - l.used[executor]
	for _, used := range l.heard {
		free -= used[executor]
	}
	return max(0, free)
}

// Acquire implements endive.Slots.
func (l *Least) Acquire(now time.Time, executor endive.ExecutorID) bool {
	if l.Free(now, executor) == 0 {
		return false
	}
	l.used[executor]++
	return true
}

// Release implements endive.Slots.
func (l *Least) Release(_ time.Time, executor endive.ExecutorID) []endive.Action {
	l.used[executor] = max(0, l.used[executor]-1)
	return nil
}

// SetDemand implements endive.Slots. Peers are told of what is used alone.
func (l *Least) SetDemand(time.Time, endive.SlotDemand) []endive.Action { return nil }

// Ownership implements endive.Slots.
func (*Least) Ownership(endive.ExecutorID) (endive.EntryID, int) { return "", 0 }
