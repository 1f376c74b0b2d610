package cell

import (
	"sort"
	"sync"
	"time"

	"endiveroute.example/endive"
)

// The advice service answers the questions of each entry one after the other. Some
// take 20 ms and are for work that should be over in a second; others take a second
// themselves. A part of the entries is kept free of the long ones, so that the quick
// ones don't wait behind them.

const (
	// longRequestCost is the cost from which on a question is a long one.
	longRequestCost = endive.Interval(100 * time.Millisecond)
	// reservedShare is the part of the entries of a region, one of so many, that is kept
	// free of long questions.
	reservedShare = 4
	// longOnReservedPenalty is how much sooner an entry of the quick lane has to be free
	// to be asked a long question.
	longOnReservedPenalty = 3 * time.Second
	// shortOnSharedPenalty is how much sooner another entry has to be free to be asked a
	// quick question, for what isn't known of the long ones there.
	shortOnSharedPenalty = 100 * time.Millisecond
	// regionRoundTrip is the time to an entry of another region and back.
	regionRoundTrip = 60 * time.Millisecond
	// localRoundTrip is the time to an entry of this region and back.
	localRoundTrip = 4 * time.Millisecond
)

// reservedEntries says which entries are kept free of long questions. It is safe for
// concurrent use.
type reservedEntries struct {
	mu       sync.Mutex
	reserved map[endive.EntryID]bool
}

// assign deals all living entries out, this one included.
func (r *reservedEntries) assign(entries endive.Peers) {
	sorted := append(endive.Peers(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	reserved := make(map[endive.EntryID]bool)
	count := make(map[endive.Region]int)
	for _, one := range sorted {
		if count[one.Region]%reservedShare == 0 {
			reserved[one.ID] = true
		}
		count[one.Region]++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved = reserved
}

// isReserved reports whether an entry is kept free of long questions.
func (r *reservedEntries) isReserved(id endive.EntryID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved[id]
}

// routingPenalty returns how much later than at another entry that is free at the same time
// a question of some cost is answered, or should be, if an entry is asked it.
func routingPenalty(cost endive.Interval, reserved, otherRegion, local bool) time.Duration {
	var penalty time.Duration
	switch {
	case local:
	case otherRegion:
		penalty += regionRoundTrip
	default:
		penalty += localRoundTrip
	}
	switch {
	case cost >= longRequestCost && reserved:
		penalty += longOnReservedPenalty
	case cost < longRequestCost && !reserved && !local:
		penalty += shortOnSharedPenalty
	}
	return penalty
}
