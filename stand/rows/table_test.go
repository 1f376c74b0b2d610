package rows

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// TestVersions checks that a row's version keeps increasing after a deletion, and
// that conditions treat a deleted row as missing.
func TestVersions(t *testing.T) {
	is := is.New(t)
	table := New(fakes.NewClock(), Settings{})
	tests := []struct {
		condition endive.Version
		delete    bool
		conflict  bool
		want      endive.Version
	}{
		{condition: 0, want: 1},
		{condition: 0, conflict: true},
		{condition: 1, delete: true, want: 2},
		{condition: 2, conflict: true},
		{condition: 0, want: 3},
		{condition: 1, conflict: true},
		{condition: 3, want: 4},
	}
	for i, tt := range tests {
		result, conflicts := table.commit(endive.Transaction{
			WriteID:    endive.WriteID(fmt.Sprint(i)),
			Conditions: []endive.Condition{{Key: "a/1", Version: tt.condition}},
			Writes:     []endive.Write{{Key: "a/1", Delete: tt.delete}},
		})
		is.Equal(len(conflicts) > 0, tt.conflict)
		if !tt.conflict {
			is.Equal(result.Versions, []endive.Version{tt.want})
		}
	}
}

// TestScan checks that scans from revision to revision miss no change, even if
// the history is compacted between them.
func TestScan(t *testing.T) {
	is := is.New(t)
	table := New(fakes.NewClock(), Settings{})
	seen := make(map[string]endive.Row)
	after := endive.Revision(1)
	for i := range 4 * maxOutdatedChanges {
		key := fmt.Sprintf("a/%d", i*i%7)
		table.commit(endive.Transaction{WriteID: "w", Writes: []endive.Write{{Key: key, Delete: i%5 == 0}, {Key: "b/1"}}})
		if i%37 != 0 {
			continue
		}
		changes := table.scan("a/", after)
		after = changes.Revision
		for _, row := range changes.Rows {
			seen[row.Key] = row
		}
		present := 0
		for _, row := range seen {
			if !row.Deleted {
				present++
			}
		}
		all := table.scan("a/", 0)
		is.Equal(len(all.Rows), present)
		for _, row := range all.Rows {
			is.Equal(seen[row.Key], row)
		}
	}
	is.True(len(table.history) < 3*maxOutdatedChanges)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	clock := fakes.NewClock()
	table := New(clock, Settings{Reads: 1, Writes: 2})
	is.True(table.admitRead())
	is.True(!table.admitRead())
	is.True(table.admitWrite())
	is.True(table.admitWrite())
	is.True(!table.admitWrite())
	clock.Advance(time.Second)
	is.True(table.admitWrite())
	is.Equal(table.Counts().OverBudget, 2)
}
