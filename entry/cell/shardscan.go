package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// shardScan reads one of the parts that a pool's work is spread over. One that doesn't
// answer is asked again, so that it doesn't hold up the others.
type shardScan struct {
	cell    *Cell
	timeout endive.Interval
	prefix  string
	results chan<- shardResult
}

// shardResult is what a shardScan has read.
type shardResult struct {
	changes endive.Changes
	err     error
}

func (s *shardScan) run(ctx context.Context) {
	for {
		limited, cancel := context.WithTimeout(ctx, time.Duration(s.timeout))
		changes, err := s.cell.Store.Scan(limited, s.prefix, 0)
		cancel()
		if err == nil || ctx.Err() != nil {
			s.results <- shardResult{changes: changes, err: err}
			return
		}
		s.cell.sleep(retryDelay)
	}
}

// scanShards reads the parts of a pool's table of work side by side.
func (c *Cell) scanShards(ctx context.Context, pool endive.PoolName) []shardResult {
	prefixes := flow.WorkShardPrefixes(pool)
	results := make(chan shardResult, len(prefixes))
	timeout := endive.Interval(c.Store.adaptiveTimeout(time.Duration(c.Settings.Timings.StoreTimeout)))
	for _, prefix := range prefixes {
		go (&shardScan{cell: c, timeout: timeout, prefix: prefix, results: results}).run(ctx)
	}
	read := make([]shardResult, 0, len(prefixes))
	for range prefixes {
		read = append(read, <-results)
	}
	return read
}

// scanWork reads all rows of a pool's table of work. What changes meanwhile is told by what
// follows after its revision.
func (c *Cell) scanWork(ctx context.Context, pool endive.PoolName) (endive.Changes, error) {
	var all endive.Changes
	for _, result := range c.scanShards(ctx, pool) {
		if result.err != nil {
			return endive.Changes{}, result.err
		}
		if all.Revision == 0 || result.changes.Revision < all.Revision {
			all.Revision = result.changes.Revision
		}
		all.Rows = append(all.Rows, result.changes.Rows...)
	}
	return all, nil
}
