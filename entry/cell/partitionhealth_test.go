package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// recordResultNow records the result of a call that begins and ends now.
func (s *Store) recordResultNow(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordResult(storeCall{startedAt: s.clock.Now()}, err)
}

func TestPartitionHealth(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	tests := []struct {
		name string
		// answered and failed are the start times of calls to partitions a and b, in milliseconds.
		answered, failed int
		partitionOnly    bool
	}{
		{"the other partition answered a later call", 200, 100, true},
		{"the last answer was to an earlier call", 100, 200, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newPartitionHealth()
			h.recordAnswer(storeCall{startedAt: at(tt.answered), partition: "a"})
			is.Equal(h.recordFailure(storeCall{startedAt: at(tt.failed), partition: "b"}, at(900)), tt.partitionOnly)
			is.True(h.writable("a", at(900)))
			is.True(!h.writable("b", at(1000)))
			is.True(h.writable("b", at(900).Add(partitionPause)))
			h.recordAnswer(storeCall{startedAt: at(1000), partition: "b"})
			is.True(h.writable("b", at(1001)))
		})
	}
}

// One partition of the store doesn't answer, the others do. The first submission to that
// partition must time out, later ones must be refused at once, and submissions to other
// partitions must be accepted.
func TestUnresponsiveStorePartition(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 1)
	r.awaitReady()
	c := r.cells[0]
	blocked, available := idsInTwoPartitions()
	// A new holder reads all partitions first.
	r.waitFor("the holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 1 })
	r.store.BlockPartition(partitionOf(flow.AcceptedKey("svc", blocked)))
	first := r.submit(c, "/quick/", string(blocked), 1, false)
	is.Equal(first.Status, endive.SubmitUnknown)
	is.True(c.Store.usable())
	begin := c.Clock.Now()
	// The first submission may still be stored, so its repetition is unconfirmed too.
	// Another one in the same partition isn't written, so it is refused.
	is.Equal(r.submit(c, "/quick/", string(blocked), 1, false).Status, endive.SubmitUnknown)
	is.Equal(r.submit(c, "/quick/", string(idInPartitionOf(blocked)), 1, false).Status, endive.SubmitUnavailable)
	is.True(c.Clock.Now().Sub(begin) < minOverdueTime)
	r.submitAccepted(c, "/quick/", string(available), 1, false)
	r.waitFor("the workflow has succeeded", func() bool { return r.state(c, "/quick/", string(available)) == endive.WorkflowSucceeded })
	r.checkInvariants()
}

// The feed loses its history while one partition of the store doesn't answer, so that the work
// rows can't all be read. The holder must receive new work nevertheless, and the work from the
// gap once the partition answers again.
func TestFeedContinuesAfterGap(t *testing.T) {
	r := newTestCluster(t, 2, 1)
	r.awaitReady()
	c := r.cells[0]
	blocked, available := idsInTwoPartitions()
	r.waitFor("the holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 1 })
	r.store.BlockFeed("work.svc")
	r.submitAccepted(c, "/quick/", string(blocked), 1, false)
	r.store.BlockPartition(partitionOf(flow.AcceptedKey("svc", blocked)))
	r.store.DropHistory()
	r.store.BlockFeed("")
	r.waitFor("the gap is detected", func() bool { return len(r.log.lines("can't read the work rows missing from the feed")) > 0 })
	r.submitAccepted(c, "/quick/", string(available), 1, false)
	r.waitFor("new work has succeeded", func() bool { return r.state(c, "/quick/", string(available)) == endive.WorkflowSucceeded })
	r.store.BlockPartition("")
	r.waitFor("the workflow from the gap has succeeded", func() bool { return r.state(c, "/quick/", string(blocked)) == endive.WorkflowSucceeded })
	r.checkInvariants()
}

// idInPartitionOf returns the id of another workflow that is stored in the same partition.
func idInPartitionOf(id endive.JobID) endive.JobID {
	for i := 0; ; i++ {
		other := endive.JobID(fmt.Sprintf("%016x", i))
		if other != id && partitionOf(flow.AcceptedKey("svc", other)) == partitionOf(flow.AcceptedKey("svc", id)) {
			return other
		}
	}
}

// idsInTwoPartitions returns the ids of workflows that are stored in different partitions.
func idsInTwoPartitions() (first, second endive.JobID) {
	first, second = "00000000000000aa", "00000000000000bb"
	if partitionOf(flow.AcceptedKey("svc", first)) == partitionOf(flow.AcceptedKey("svc", second)) {
		second = "00000000000000cc"
	}
	return first, second
}
