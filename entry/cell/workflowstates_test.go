package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/platform/stand"
)

func TestWorkflowStates(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name    string
		changes []flow.PublishState
		expiry  time.Time
		want    endive.WorkflowState
		known   bool
	}{
		{"no state published", nil, now.Add(time.Second), "", false},
		{"latest state", []flow.PublishState{{Job: "a", State: "queued"}, {Job: "a", State: "running"}}, now.Add(time.Second), "running", true},
		{"lease expired", []flow.PublishState{{Job: "a", State: "running"}}, now, "running", false},
		{"state removed", []flow.PublishState{{Job: "a", State: "succeeded"}, {Job: "a"}}, now.Add(time.Second), "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var states workflowStates
			states.setExpiry(tt.expiry)
			for _, change := range tt.changes {
				states.apply(change)
			}
			state, known := states.stateAt(now, "a")
			is.Equal(state.state, tt.want)
			is.Equal(known, tt.known)
			states.clear()
			_, known = states.stateAt(now, "a")
			is.True(!known)
		})
	}
}

// Clients request the state just after the last task has ended. They must get the final
// state as soon as it is recorded, and "running" if that takes long.
func TestAwaitStateUntilEndIsRecorded(t *testing.T) {
	tests := []struct {
		name string
		next []flow.PublishState
		want endive.WorkflowState
	}{
		{"end recorded soon", []flow.PublishState{{Job: "a", State: "succeeded"}}, "succeeded"},
		{"end not recorded", nil, "running"},
		{"end of another workflow recorded", []flow.PublishState{{Job: "b", State: "succeeded"}}, "running"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var states workflowStates
			states.setExpiry(time.Now().Add(time.Minute))
			states.apply(flow.PublishState{Job: "a", State: "running", EndPending: true})
			go (&stateFeeder{states: &states, changes: tt.next}).run()
			state, known := states.awaitState(t.Context(), endive.SystemClock{}, "a")
			is.True(known)
			is.Equal(state.state, tt.want)
		})
	}
}

// stateFeeder applies published states concurrently with a waiting reader.
type stateFeeder struct {
	states  *workflowStates
	changes []flow.PublishState
}

func (f *stateFeeder) run() {
	for _, change := range f.changes {
		f.states.apply(change)
	}
}

// Clients request states while the store doesn't answer. The holder must answer from its
// published states, also for clients of other entries, and must return a final state only
// once it is recorded.
func TestHolderAnswersStateRequests(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 2)
	r.taskDuration = 400 * time.Millisecond
	r.awaitReady()
	holder := r.holder()
	other := r.entryExcept(holder)
	r.waitFor("the entries are linked", func() bool {
		return len(other.peers.linkedEntries()) == 1 && other.poolNamed("svc").currentHolder() != ""
	})
	r.submitAccepted(other, "/quick/", "00000000000000aa", 2, false)
	r.waitFor("the workflow has succeeded", func() bool { return r.state(other, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	r.submitAccepted(other, "/quick/", "00000000000000bb", 2, false)
	r.waitFor("the second workflow runs", func() bool { return len(r.log.lines("ordered", "00000000000000bb")) == 2 })
	r.store.SetFault(stand.FaultBusy)
	is.Equal(r.state(other, "/quick/", "00000000000000aa"), endive.WorkflowSucceeded)
	r.waitFor("the tasks have ended", func() bool { return len(r.log.lines("succeeded", `"kind":"end"`, "00000000000000bb")) == 2 })
	is.Equal(r.state(other, "/quick/", "00000000000000bb"), endive.WorkflowRunning)
	r.store.SetFault(stand.FaultNone)
	r.waitFor("the workflow has succeeded", func() bool { return r.state(other, "/quick/", "00000000000000bb") == endive.WorkflowSucceeded })
	r.checkInvariants()
}
