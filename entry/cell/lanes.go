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
	// longQuestion is the cost from which on a question is a long one.
	longQuestion = endive.Interval(100 * time.Millisecond)
	// quickLane is the part of the entries of a region, one of so many, that is kept
	// free of long questions.
	quickLane = 4
	// longInQuickLane is how much sooner an entry of the quick lane has to be free
	// to be asked a long question.
	longInQuickLane = 3 * time.Second
	// quickElsewhere is how much sooner another entry has to be free to be asked a
	// quick question, for what isn't known of the long ones there.
	quickElsewhere = 100 * time.Millisecond
	// regionWay is the time to an entry of another region and back.
	regionWay = 60 * time.Millisecond
	// zoneWay is the time to an entry of this region and back.
	zoneWay = 4 * time.Millisecond
)

// lanes says which entries are kept free of long questions. It is safe for
// concurrent use.
type lanes struct {
	mu    sync.Mutex
	quick map[endive.EntryID]bool
}

// assign deals all living entries out, this one included.
func (l *lanes) assign(entries endive.Peers) {
	sorted := append(endive.Peers(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	quick := make(map[endive.EntryID]bool)
	count := make(map[endive.Region]int)
	for _, one := range sorted {
		if count[one.Region]%quickLane == 0 {
			quick[one.ID] = true
		}
		count[one.Region]++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quick = quick
}

// isQuick reports whether an entry is kept free of long questions.
func (l *lanes) isQuick(id endive.EntryID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quick[id]
}

// detour returns how much later than at another entry that is free at the same time
// a question of some cost is answered, or should be, if an entry is asked it.
func detour(cost endive.Interval, quick, far, own bool) time.Duration {
	var d time.Duration
	switch {
	case own:
	case far:
		d += regionWay
	default:
		d += zoneWay
	}
	switch {
	case cost >= longQuestion && quick:
		d += longInQuickLane
	case cost < longQuestion && !quick && !own:
		d += quickElsewhere
	}
	return d
}
