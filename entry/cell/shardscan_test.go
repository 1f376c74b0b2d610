package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// refusingRows is a store that refuses each scan at once.
type refusingRows struct {
	RowStore
	scans atomic.Int64
}

func (r *refusingRows) Scan(context.Context, string, endive.Revision) (endive.Changes, error) {
	r.scans.Add(1)
	return endive.Changes{}, endive.ErrUnavailable.New("busy")
}

// A new holder reads its work while the store refuses all calls at once. The scan of a shard
// must pause before each retry instead of retrying as fast as it is refused.
func TestShardScanPausesAfterRefusal(t *testing.T) {
	is := is.New(t)
	rows := &refusingRows{}
	c := &Cell{Deps: Deps{Store: NewStore(rows, endive.SystemClock{}, hclog.NewNullLogger())}}
	c.ctx = t.Context()
	ctx, cancel := context.WithTimeout(t.Context(), 5*retryDelay/2)
	defer cancel()
	results := make(chan shardResult, 1)
	(&shardScan{cell: c, timeout: endive.Interval(time.Second), prefix: "work.svc/000/", results: results}).run(ctx)
	is.True((<-results).err != nil)
	is.True(rows.scans.Load() <= 4)
}
