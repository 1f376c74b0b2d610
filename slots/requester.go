package slots

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// requester is a peer that wants to borrow slots of a service from this entry.
type requester struct {
	entry       endive.EntryID
	incarnation endive.Incarnation
	sequence    uint64
	askedAt     time.Time
	wanted      int
	oldest      time.Time
	excluded    map[endive.ExecutorID]bool
}

// requesters are the peers that want to borrow slots of one service.
type requesters map[endive.EntryID]*requester

// pending returns the requesters with unmet demand, the one with the oldest
// request first.
func (rs requesters) pending(now time.Time) []*requester {
	var list []*requester
	for _, a := range rs {
		if a.wanted > 0 && demandTimeout.After(a.askedAt).After(now) {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].oldest.Equal(list[j].oldest) {
			return list[i].oldest.Before(list[j].oldest)
		}
		return list[i].entry < list[j].entry
	})
	return list
}
