package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// sawNow takes in the result of a call that begins and ends now.
func (s *Store) sawNow(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saw(storeCall{began: s.clock.Now()}, err)
}

func TestPartHealth(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	tests := []struct {
		name string
		// answered and failed are when calls to parts a and b began.
		answered, failed int
		partOnly         bool
	}{
		{"the other part answered a later call", 200, 100, true},
		{"the last answer was to an earlier call", 100, 200, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newPartHealth()
			h.answered(storeCall{began: at(tt.answered), part: "a"})
			is.Equal(h.failed(storeCall{began: at(tt.failed), part: "b"}, at(900)), tt.partOnly)
			is.True(h.usable("a", at(900)))
			is.True(!h.usable("b", at(1000)))
			is.True(h.usable("b", at(900).Add(partPause)))
			h.answered(storeCall{began: at(1000), part: "b"})
			is.True(h.usable("b", at(1001)))
		})
	}
}

// The load: a part of the store answers nothing, the others do. Work of the others is
// stored, work of that part is refused at once after the first that had to wait.
func TestPartOfTheStoreIsSilent(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 1)
	r.ready()
	c := r.cells[0]
	silent, there := idsOfTwoParts()
	// A new holder reads all parts first.
	r.until("the holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 1 })
	r.store.BlockPartition(partOf(flow.AcceptedKey("svc", silent)))
	first := r.submit(c, "/quick/", string(silent), 1, false)
	is.Equal(first.Status, endive.SubmitUnknown)
	is.True(c.Rows.usable())
	begin := c.Clock.Now()
	// The first may still be stored; another of the same part can't be.
	is.Equal(r.submit(c, "/quick/", string(silent), 1, false).Status, endive.SubmitUnknown)
	is.Equal(r.submit(c, "/quick/", string(idInPartOf(silent)), 1, false).Status, endive.SubmitUnavailable)
	is.True(c.Clock.Now().Sub(begin) < storeDoubt)
	r.accept(c, "/quick/", string(there), 1, false)
	r.until("it has succeeded", func() bool { return r.state(c, "/quick/", string(there)) == endive.WorkflowSucceeded })
	r.holds()
}

// The load: the feed forgets its history while a part of the store answers nothing, so that
// the whole table can't be read. New work is heard of all the same, and what came in the
// gap once the part is back.
func TestFeedGoesOnOverAGap(t *testing.T) {
	r := newRig(t, 2, 1)
	r.ready()
	c := r.cells[0]
	gone, there := idsOfTwoParts()
	r.until("the holder has read all rows", func() bool { return len(r.log.lines(`"loaded"`)) == 1 })
	r.store.BlockFeed("work.svc")
	r.accept(c, "/quick/", string(gone), 1, false)
	r.store.BlockPartition(partOf(flow.AcceptedKey("svc", gone)))
	r.store.DropHistory()
	r.store.BlockFeed("")
	r.until("the gap is noticed", func() bool { return len(r.log.lines("the feed has forgotten")) > 0 })
	r.accept(c, "/quick/", string(there), 1, false)
	r.until("new work has succeeded", func() bool { return r.state(c, "/quick/", string(there)) == endive.WorkflowSucceeded })
	r.store.BlockPartition("")
	r.until("what came in the gap has succeeded", func() bool { return r.state(c, "/quick/", string(gone)) == endive.WorkflowSucceeded })
	r.holds()
}

// idInPartOf returns another workflow that is stored in the same part.
func idInPartOf(one endive.JobID) endive.JobID {
	for i := 0; ; i++ {
		other := endive.JobID(fmt.Sprintf("%016x", i))
		if other != one && partOf(flow.AcceptedKey("svc", other)) == partOf(flow.AcceptedKey("svc", one)) {
			return other
		}
	}
}

// idsOfTwoParts returns workflows that are stored in different parts.
func idsOfTwoParts() (one, other endive.JobID) {
	one, other = "00000000000000aa", "00000000000000bb"
	if partOf(flow.AcceptedKey("svc", one)) == partOf(flow.AcceptedKey("svc", other)) {
		other = "00000000000000cc"
	}
	return one, other
}
