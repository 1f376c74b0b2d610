package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// Shares is the way of fixed shares: the live entries in an executor's region,
// or all of them where there is none, have equal parts of its slots. It sends no
// messages. Views of entries that differ for a moment can exceed the slots.
type Shares struct {
	config endive.Config
	view   endive.MembersChanged
	shares map[endive.ExecutorID]int
	used   map[endive.ExecutorID]int
}

// NewShares returns shares of nothing, until configuration and view come.
func NewShares() *Shares {
	return &Shares{shares: make(map[endive.ExecutorID]int), used: make(map[endive.ExecutorID]int)}
}

// Step implements endive.Machine for endive.ConfigChanged and
// endive.MembersChanged.
func (s *Shares) Step(_ time.Time, event endive.Event) []endive.Action {
	switch e := event.(type) {
	case endive.ConfigChanged:
		s.config = e.Config
	case endive.MembersChanged:
		s.view = e
	default:
		return nil
	}
	s.updateShares()
	return nil
}

// updateShares works the shares out again.
func (s *Shares) updateShares() {
	s.shares = make(map[endive.ExecutorID]int)
	for _, e := range s.view.Endpoints {
		service, ok := s.config.Service(e.Service)
		if e.Kind != endive.KindExecutor || !ok {
			continue
		}
		s.shares[endive.ExecutorID(e.ID)] = s.shareOf(e.Instance, service.Slots)
	}
}

// shareOf returns this entry's shareOf of n slots of an executor. What is left over
// goes to the entries that rank first for the executor.
func (s *Shares) shareOf(executor endive.Instance, n int) int {
	entries := eligible(s.view.Peers, executor.Region)
	sort.Slice(entries, func(i, j int) bool {
		return endive.Rendezvous(entries[i].ID, executor.ID) > endive.Rendezvous(entries[j].ID, executor.ID)
	})
	for i, entry := range entries {
		if entry.ID != s.view.Self.ID {
			continue
		}
		part := n / len(entries)
		if i < n%len(entries) {
			part++
		}
		return part
	}
	return 0
}

// Free implements endive.Slots.
func (s *Shares) Free(_ time.Time, executor endive.ExecutorID) int {
	return max(0, s.shares[executor]-s.used[executor])
}

// Acquire implements endive.Slots.
func (s *Shares) Acquire(now time.Time, executor endive.ExecutorID) bool {
	if s.Free(now, executor) == 0 {
		return false
	}
	s.used[executor]++
	return true
}

// Release implements endive.Slots.
func (s *Shares) Release(_ time.Time, executor endive.ExecutorID) []endive.Action {
	if s.used[executor]--; s.used[executor] <= 0 {
		delete(s.used, executor)
	}
	return nil
}

// SetDemand implements endive.Slots. Shares don't follow the demand.
func (s *Shares) SetDemand(time.Time, endive.SlotDemand) []endive.Action { return nil }

// Ownership implements endive.Slots.
func (*Shares) Ownership(endive.ExecutorID) (endive.EntryID, int) { return "", 0 }
