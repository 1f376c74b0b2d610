package cell

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// While the store and its feed are slow, the entry that stored a workflow must send it to the
// holder. The test blocks the feed, so that the holder gets the workflow from that entry only.
func TestHolderIsNotifiedOfStoredWorkflow(t *testing.T) {
	for _, accepting := range []string{"holder", "other entry"} {
		t.Run(accepting, func(t *testing.T) {
			is := is.New(t)
			r := newTestCluster(t, 2, 2)
			r.awaitReady()
			entry, holder := r.holder(), r.holder()
			r.waitFor("the holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 1 })
			loadedBy := time.Now()
			if accepting != "holder" {
				entry = r.entryExcept(entry)
				r.waitFor("the entries are linked", func() bool { return len(entry.peers.linkedEntries()) == 1 })
				r.waitFor("the other entry knows the holder", func() bool { return entry.poolNamed("svc").currentHolder() != "" })
			}
			// Notices of workflows that may have been accepted before the rows were read are left to the feed.
			r.waitFor("a workflow would surely be accepted after the rows were read", func() bool {
				return holder.Platform.Earliest(entry.Platform.AtLeast(entry.Clock.Now())).After(loadedBy)
			})
			r.store.BlockFeed("work.svc")
			entry.Store.mu.Lock()
			entry.Store.meanLatency = entry.Store.minLatency + 100*endive.Interval(time.Second)
			entry.Store.mu.Unlock()
			r.submitAccepted(entry, "/quick/", "00000000000000aa", 2, false)
			r.waitFor("the workflow has succeeded", func() bool { return r.state(entry, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
			// A new holder would have read the workflow from the store.
			is.Equal(len(r.log.lines(`"kind":"tenure"`, `"began"`)), 1)
			r.checkInvariants()
		})
	}
}

// A client submits a workflow again after it has ended. The store is slow, and the pool's new
// holder has no state of the workflow. The holder must not run it again.
func TestHolderIsNotNotifiedOfResubmission(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 2)
	r.awaitReady()
	first := r.holder()
	r.submitAccepted(first, "/quick/", "00000000000000aa", 2, false)
	r.waitFor("the workflow has succeeded", func() bool { return r.state(first, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	r.waitFor("the workflow's rows are archived", func() bool { return r.store.Count("ended.svc") == 1 })
	first.Close()
	var other *Cell
	r.waitFor("another entry holds the pool", func() bool { other = r.holder(); return other != nil })
	r.waitFor("the new holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 2 })
	other.Store.mu.Lock()
	other.Store.meanLatency = other.Store.minLatency + 100*endive.Interval(time.Second)
	other.Store.mu.Unlock()
	r.submitAccepted(other, "/quick/", "00000000000000aa", 2, false)
	r.submitAccepted(other, "/quick/", "00000000000000bb", 2, false)
	r.waitFor("new work has succeeded", func() bool { return r.state(other, "/quick/", "00000000000000bb") == endive.WorkflowSucceeded })
	is.Equal(r.state(other, "/quick/", "00000000000000aa"), endive.WorkflowSucceeded)
	is.Equal(len(r.log.lines(`"ordered"`, `"kind":"start"`, "00000000000000aa")), 2)
	r.checkInvariants()
}

// An entry is suspended after it has stored a workflow, and sends the notice of it only when the workflow has ended, its
// rows are archived and another entry holds the pool. The new holder must not run the workflow again.
func TestLateNoticeDoesNotReviveWorkflow(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 2)
	r.awaitReady()
	first := r.holder()
	step := endive.Step{Tasks: 2, Need: endive.Resources{Processors: 1000}, Estimate: endive.Interval(r.taskDuration)}
	notice, err := json.Marshal(endive.Submission{
		Workflow: endive.Workflow{ID: "00000000000000aa", Payload: "x", Steps: []endive.Step{step}},
		Policy:   first.Match("a.example", "/quick/00000000000000aa", "").Queue, Accepted: first.Platform.AtLeast(first.Clock.Now()),
	})
	is.NoErr(err)
	r.submitAccepted(first, "/quick/", "00000000000000aa", 2, false)
	r.waitFor("the workflow's rows are archived", func() bool { return r.store.Count("ended.svc") == 1 })
	first.Close()
	var other *Cell
	r.waitFor("another entry holds the pool", func() bool { other = r.holder(); return other != nil })
	r.waitFor("the new holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 2 })
	other.handleStored("svc", "00000000000000aa", notice)
	r.submitAccepted(other, "/quick/", "00000000000000bb", 2, false)
	r.waitFor("new work has succeeded", func() bool { return r.state(other, "/quick/", "00000000000000bb") == endive.WorkflowSucceeded })
	is.Equal(len(r.log.lines(`"ordered"`, `"kind":"start"`, "00000000000000aa")), 2)
	r.checkInvariants()
}

// A store is slow if its mean latency is much above the minimum, not if it is remote.
func TestIsSlow(t *testing.T) {
	tests := []struct {
		name          string
		mean, minimum time.Duration
		want          bool
	}{
		{"low minimum latency", 5 * time.Millisecond, 4 * time.Millisecond, false},
		{"high minimum latency", 70 * time.Millisecond, 64 * time.Millisecond, false},
		{"low minimum latency, slow store", 280 * time.Millisecond, 4 * time.Millisecond, true},
		{"high minimum latency, slow store", 340 * time.Millisecond, 64 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &Store{meanLatency: endive.Interval(tt.mean), minLatency: endive.Interval(tt.minimum)}
			is.Equal(s.isSlow(), tt.want)
		})
	}
}
