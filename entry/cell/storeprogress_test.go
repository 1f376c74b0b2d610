package cell

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// largeRows answers reads with a response that begins after 50 ms and then takes 2 s more.
type largeRows struct {
	RowStore
	clock *fakes.Clock
	// during is called while the response arrives.
	during func()
}

func (r *largeRows) Scan(ctx context.Context, _ string, _ endive.Revision) (endive.Changes, error) {
	r.clock.Advance(50 * time.Millisecond)
	for range 20 {
		endive.ReportReceived(ctx)
		r.clock.Advance(100 * time.Millisecond)
		r.during()
	}
	return endive.Changes{}, nil
}

// While a large response arrives the store works: submissions must not be refused, and the next
// timeouts must not become longer.
func TestLargeReadMakesStoreCountAsOverdue(t *testing.T) {
	is := is.New(t)
	clock := fakes.NewClock()
	rows := &largeRows{clock: clock}
	store := NewStore(rows, clock, hclog.NewNullLogger())
	rows.during = func() { is.True(store.usable()); is.True(store.usableFor("work.a/b/c")); is.True(store.reachable()) }
	clock.Advance(time.Minute)
	_, err := store.Scan(t.Context(), "op//", 0)
	is.NoErr(err)
	is.Equal(store.latencyFloor(), endive.Interval(50*time.Millisecond))
	is.Equal(store.adaptiveTimeout(100*time.Millisecond), 100*time.Millisecond)
}

// A response that stops arriving makes the call overdue like one that doesn't begin.
func TestStalledReadCountsAsProgress(t *testing.T) {
	is := is.New(t)
	clock := fakes.NewClock()
	store := NewStore(nil, clock, hclog.NewNullLogger())
	call := store.beginCall("")
	(&callProgress{store: store, call: call}).BytesReceived()
	is.True(store.usableFor("op//config"))
	clock.Advance(minOverdueTime + time.Millisecond)
	is.True(!store.usableFor("op//config"))
}
