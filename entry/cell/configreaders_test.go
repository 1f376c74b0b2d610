package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// Entries that choose different readers poll entries that don't read, and a holder of a pool has
// no time to serve the others.
func TestReadersAreChosenBadly(t *testing.T) {
	peerOf := func(id endive.EntryID, region endive.Region) endive.Peer { return endive.Peer{ID: id, Region: region} }
	live := endive.Peers{peerOf("a", "r"), peerOf("b", "r"), peerOf("c", "r"), peerOf("d", "r"), peerOf("z", "other")}
	usual := configReaders(live, "r", nil)
	tests := []struct {
		name    string
		live    endive.Peers
		region  endive.Region
		holders map[endive.EntryID]bool
		want    []endive.EntryID
	}{
		{"in another order", endive.Peers{live[3], live[4], live[1], live[0], live[2]}, "r", nil, usual},
		{"a holder elsewhere", live, "r", map[endive.EntryID]bool{"z": true}, usual},
		{"one entry in the region", live, "other", nil, []endive.EntryID{"z"}},
		{"no entry in the region", live, "none", nil, []endive.EntryID{}},
		{"a holder", live[:3], "r", map[endive.EntryID]bool{"a": true}, configReaders(live[1:3], "r", nil)},
		{"only holders", live[:2], "r", map[endive.EntryID]bool{"a": true, "b": true}, configReaders(live[:2], "r", nil)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := configReaders(tt.live, tt.region, tt.holders)
			is.Equal(len(got), len(tt.want))
			for i := range got {
				is.Equal(got[i], tt.want[i])
			}
		})
	}
	is.New(t).Equal(len(usual), minReaders)
}

// A reader passes a large configuration on to one entry after another. In a large region two
// readers would take too long for that.
func TestReaderServesTooManyEntries(t *testing.T) {
	for entries, want := range map[int]int{1: 1, 2: 2, 21: 2, 32: 2, 33: 3, 160: 10} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			var live endive.Peers
			for i := range entries {
				live = append(live, endive.Peer{ID: endive.EntryID(fmt.Sprintf("entry-%d", i)), Region: "r"})
			}
			is.New(t).Equal(len(configReaders(live, "r", nil)), want)
		})
	}
}

// An entry whose readers fail must turn to the store early enough, and must not while a reader
// is about to have the configuration.
func TestFailedReadersDelayConfiguration(t *testing.T) {
	const fresh, old = time.Second, 2 * time.Second
	tests := []struct {
		name  string
		state sourceState
		want  configSource
	}{
		{"just started", sourceState{readers: 2, age: fresh}, sourceStore},
		{"strict keys", sourceState{loaded: true, strict: true, readers: 2, age: fresh}, sourceStore},
		{"a reader", sourceState{loaded: true, age: fresh}, sourceStore},
		{"usual", sourceState{loaded: true, readers: 2, age: fresh}, sourceReader},
		{"the first failed", sourceState{loaded: true, readers: 2, failed: 1, age: old}, sourceNextReader},
		{"both failed", sourceState{loaded: true, readers: 2, failed: 2, age: old}, sourceStore},
		{"both failed a moment ago", sourceState{loaded: true, readers: 2, age: fresh, paused: true}, sourceStore},
		{"one receives", sourceState{loaded: true, readers: 2, failed: 2, age: old, receiving: true}, sourceReceiver},
		{"one receives for long", sourceState{loaded: true, readers: 2, failed: 4, age: receivingAgeLimit, receiving: true}, sourceStore},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.state.next(), tt.want)
		})
	}
}
