package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/platform/stand"
)

func TestToldStates(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name  string
		told  []flow.PublishState
		until time.Time
		want  endive.WorkflowState
		known bool
	}{
		{"nothing was told", nil, now.Add(time.Second), "", false},
		{"the newest counts", []flow.PublishState{{Job: "a", State: "queued"}, {Job: "a", State: "running"}}, now.Add(time.Second), "running", true},
		{"the lease has run out", []flow.PublishState{{Job: "a", State: "running"}}, now, "running", false},
		{"not known any more", []flow.PublishState{{Job: "a", State: "succeeded"}, {Job: "a"}}, now.Add(time.Second), "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var book told
			book.extend(tt.until)
			for _, one := range tt.told {
				book.take(one)
			}
			state, known := book.state(now, "a")
			is.Equal(state, tt.want)
			is.Equal(known, tt.known)
			book.clear()
			_, known = book.state(now, "a")
			is.True(!known)
		})
	}
}

// The load: callers ask just after the last task has ended. They are told of the end as
// soon as it is recorded, and that the workflow runs if that takes long.
func TestEndIsToldOnceRecorded(t *testing.T) {
	tests := []struct {
		name string
		next []flow.PublishState
		want endive.WorkflowState
	}{
		{"recorded soon", []flow.PublishState{{Job: "a", State: "succeeded"}}, "succeeded"},
		{"not recorded", nil, "running"},
		{"another is recorded", []flow.PublishState{{Job: "b", State: "succeeded"}}, "running"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var book told
			book.extend(time.Now().Add(time.Minute))
			book.take(flow.PublishState{Job: "a", State: "running", EndPending: true})
			go (&teller{book: &book, next: tt.next}).run()
			state, known := book.stateSoon(t.Context(), endive.SystemClock{}, "a")
			is.True(known)
			is.Equal(state, tt.want)
		})
	}
}

// teller tells a book of states.
type teller struct {
	book *told
	next []flow.PublishState
}

func (t *teller) run() {
	for _, one := range t.next {
		t.book.take(one)
	}
}

// The load: callers ask for states while the store answers nothing. The holder tells what
// it knows, also to callers of other entries, and an end only once it is recorded.
func TestHolderTellsStates(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 2)
	r.took = 400 * time.Millisecond
	r.ready()
	holder := r.holder()
	other := r.otherThan(holder)
	r.until("the entries are linked", func() bool { return len(other.peers.ids()) == 1 && other.poolNamed("svc").heldIn() != "" })
	r.accept(other, "/quick/", "00000000000000aa", 2, false)
	r.until("it has succeeded", func() bool { return r.state(other, "/quick/", "00000000000000aa") == endive.WorkflowSucceeded })
	r.accept(other, "/quick/", "00000000000000bb", 2, false)
	r.until("it runs", func() bool { return len(r.log.lines("ordered", "00000000000000bb")) == 2 })
	r.store.SetFault(stand.FaultBusy)
	is.Equal(r.state(other, "/quick/", "00000000000000aa"), endive.WorkflowSucceeded)
	r.until("the tasks have ended", func() bool { return len(r.log.lines("succeeded", `"kind":"end"`, "00000000000000bb")) == 2 })
	is.Equal(r.state(other, "/quick/", "00000000000000bb"), endive.WorkflowRunning)
	r.store.SetFault(stand.FaultNone)
	r.until("it has succeeded", func() bool { return r.state(other, "/quick/", "00000000000000bb") == endive.WorkflowSucceeded })
	r.holds()
}
