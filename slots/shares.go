package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// Shares implements endive.Slots with fixed shares: the live entries in an
// executor's region, or all live entries if the region has none, share the
// executor's slots evenly. It sends no messages. While the members lists of
// entries differ, entries together may exceed an executor's slots.
type Shares struct {
	config endive.Config
	view   endive.MembersChanged
	shares map[endive.ExecutorID]int
	used   map[endive.ExecutorID]int
}

// NewShares returns a Shares without configuration and members.
func NewShares() *Shares {
	return &Shares{shares: make(map[endive.ExecutorID]int), used: make(map[endive.ExecutorID]int)}
}

// Step implements endive.Machine. It handles endive.ConfigChanged and
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

// updateShares recomputes this entry's share of each executor.
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

// shareOf returns this entry's share of the given number of slots of an
// executor. The remainder goes to the entries with the highest rendezvous
// scores for the executor.
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

// SetDemand implements endive.Slots. Fixed shares don't depend on the demand.
func (s *Shares) SetDemand(time.Time, endive.SlotDemand) []endive.Action { return nil }

// Ownership implements endive.Slots.
func (*Shares) Ownership(endive.ExecutorID) (endive.EntryID, int) { return "", 0 }
