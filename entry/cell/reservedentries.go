package cell

import (
	"sort"
	"sync"
	"time"

	"endiveroute.example/endive"
)

// The advice service processes the requests of each entry sequentially. Some take 20 ms and
// are for work that should end within a second; others take a second themselves. Long
// requests avoid a share of the entries, the reserved ones, so that short requests aren't
// queued behind them.

const (
	// longRequestCost is the cost from which a request is a long one.
	longRequestCost = endive.Interval(100 * time.Millisecond)
	// reservedShare is the share of reserved entries: one in reservedShare of each region's
	// entries.
	reservedShare = 4
	// longOnReservedPenalty is how much earlier than the others a reserved entry must be
	// free to be sent a long request.
	longOnReservedPenalty = 3 * time.Second
	// shortOnSharedPenalty is how much earlier than a reserved entry another one must be
	// free to be sent a short request. The other entry may have queued long requests that
	// this entry doesn't know of.
	shortOnSharedPenalty = 100 * time.Millisecond
	// regionRoundTrip is the assumed round-trip time to an entry of another region.
	regionRoundTrip = 60 * time.Millisecond
	// localRoundTrip is the assumed round-trip time to an entry of this region.
	localRoundTrip = 4 * time.Millisecond
)

// reservedEntries is the set of entries that long requests avoid. It is safe for concurrent
// use.
type reservedEntries struct {
	mu       sync.Mutex
	reserved map[endive.EntryID]bool
}

// assign selects the reserved entries of each region from all live entries, including this
// one. All entries select the same ones, since they sort them by name.
func (r *reservedEntries) assign(entries endive.Peers) {
	sorted := append(endive.Peers(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	reserved := make(map[endive.EntryID]bool)
	count := make(map[endive.Region]int)
	for _, entry := range sorted {
		if count[entry.Region]%reservedShare == 0 {
			reserved[entry.ID] = true
		}
		count[entry.Region]++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved = reserved
}

// isReserved reports whether an entry is reserved for short requests.
func (r *reservedEntries) isReserved(id endive.EntryID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved[id]
}

// routingPenalty returns the time that is added to when an entry is free, to compare it with
// others for a request of the given cost: the round trip, and a penalty for long requests on
// reserved entries and short ones on others.
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
