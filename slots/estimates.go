package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// reportPeriod is the interval at which an entry reports its usage to its
// peers.
const reportPeriod = endive.Interval(100 * time.Millisecond)

// Estimates implements endive.Slots by estimating the free slots: each entry
// periodically reports its usage to its peers and counts all other slots as
// free. It is meant for a router that takes the less loaded of two executors.
// Two entries may use the same slot at the same time.
type Estimates struct {
	self   endive.EntryID
	config endive.Config
	view   endive.MembersChanged
	totals map[endive.ExecutorID]int
	used   map[endive.ExecutorID]int
	// peerUsed is the usage reported by each peer.
	peerUsed map[endive.EntryID]map[endive.ExecutorID]int
	// reported is the usage that was reported to the peers last.
	reported map[endive.ExecutorID]int
	wakeAt   time.Time
}

// NewEstimates returns an Estimates without configuration and peers.
func NewEstimates(self endive.EntryID) *Estimates {
	return &Estimates{
		self: self, totals: make(map[endive.ExecutorID]int), used: make(map[endive.ExecutorID]int),
		peerUsed: make(map[endive.EntryID]map[endive.ExecutorID]int), reported: make(map[endive.ExecutorID]int),
	}
}

// Step implements endive.Machine. It handles endive.ConfigChanged,
// endive.MembersChanged, endive.Wake, and endive.Received with a
// *wire.SlotReturn.
func (l *Estimates) Step(now time.Time, event endive.Event) []endive.Action {
	switch e := event.(type) {
	case endive.ConfigChanged:
		l.config = e.Config
		l.updateTotals()
	case endive.MembersChanged:
		l.view = e
		l.updateTotals()
	case endive.Received:
		if m, ok := e.Message.(*wire.SlotReturn); ok {
			l.handleReport(e.From, m)
		}
	case endive.Wake:
		l.wakeAt = time.Time{}
		return append(l.sendReports(), l.setWake(now)...)
	}
	return l.setWake(now)
}

// updateTotals recomputes the slots of all executors and drops the usage of
// entries that are no longer live.
func (l *Estimates) updateTotals() {
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
	for id := range l.peerUsed {
		if !live[id] {
			delete(l.peerUsed, id)
		}
	}
}

// handleReport applies the usage that a peer reported.
func (l *Estimates) handleReport(from endive.EntryID, m *wire.SlotReturn) {
	if l.peerUsed[from] == nil {
		l.peerUsed[from] = make(map[endive.ExecutorID]int)
	}
	for _, h := range m.GetHolds() {
		l.peerUsed[from][endive.ExecutorID(h.GetExecutor())] = int(h.GetSlots())
	}
}

// sendReports sends the changed usage to the live peers.
func (l *Estimates) sendReports() []endive.Action {
	var ids []string
	for id := range l.totals {
		if l.used[id] != l.reported[id] {
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
		l.reported[endive.ExecutorID(id)] = used
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

// setWake requests the next wake-up.
func (l *Estimates) setWake(now time.Time) []endive.Action {
	if l.wakeAt.After(now) {
		return nil
	}
	l.wakeAt = reportPeriod.After(now)
	return []endive.Action{endive.SetWake{At: l.wakeAt}}
}

// Free implements endive.Slots.
func (l *Estimates) Free(_ time.Time, executor endive.ExecutorID) int {
	free := l.totals[executor] - l.used[executor]
	for _, used := range l.peerUsed {
		free -= used[executor]
	}
	return max(0, free)
}

// Acquire implements endive.Slots.
func (l *Estimates) Acquire(now time.Time, executor endive.ExecutorID) bool {
	if l.Free(now, executor) == 0 {
		return false
	}
	l.used[executor]++
	return true
}

// Release implements endive.Slots.
func (l *Estimates) Release(_ time.Time, executor endive.ExecutorID) []endive.Action {
	l.used[executor] = max(0, l.used[executor]-1)
	return nil
}

// SetDemand implements endive.Slots. The demand isn't used, since only usage is
// reported.
func (l *Estimates) SetDemand(time.Time, endive.SlotDemand) []endive.Action { return nil }

// Ownership implements endive.Slots.
func (*Estimates) Ownership(endive.ExecutorID) (endive.EntryID, int) { return "", 0 }
