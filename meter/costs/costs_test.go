package costs

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBetween(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	before := Snapshot{At: now, Metrics: []Metrics{ParseMetrics("peerBytes{crossRegion=\"no\"} 100\n")}, Counts: &Counts{}}
	after := Snapshot{At: now.Add(2 * time.Second), Counts: &Counts{}, Missing: []string{"entry-2"}, Metrics: []Metrics{
		ParseMetrics("# text\npeerBytes{crossRegion=\"no\"} 150\npeerBytes{crossRegion=\"yes\"} 30\npeerBytesOther 9\nstepMicroseconds{role=\"a b\"} 2000000\nprocessMicroseconds 3000000\nprocessMemoryBytes 64\n"),
	}}
	after.Counts.Table.Kinds = map[string]TableCount{"jobs": {Reads: 3, Scans: 2, Writes: 4}, "leases": {Writes: 1}}
	is.Equal(Between(before, after), Cost{
		Seconds: 2, Entries: 1, PeerBytes: 80, CrossRegionBytes: 30, StepSeconds: 2, ProcessSeconds: 3, MaxMemory: 64, TableReads: 5, TableWrites: 5, Missing: []string{"entry-2"},
	})
}
