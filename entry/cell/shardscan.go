package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// shardScan reads one shard of a pool's work rows. It retries after a failure until the
// context ends, so that a shard without an answer doesn't fail the scan of all.
type shardScan struct {
	cell    *Cell
	timeout endive.Interval
	prefix  string
	results chan<- shardResult
}

// shardResult has the rows that a shardScan has read, or its error.
type shardResult struct {
	changes endive.Changes
	err     error
}

func (s *shardScan) run(ctx context.Context) {
	for {
		changes, err := s.cell.Store.Scan(endive.WithStallTimeout(ctx, s.timeout), s.prefix, 0)
		if err == nil || ctx.Err() != nil {
			s.results <- shardResult{changes: changes, err: err}
			return
		}
		s.cell.sleep(retryDelay)
	}
}

// scanShards reads all shards of a pool's work rows in parallel.
func (c *Cell) scanShards(ctx context.Context, pool endive.PoolName) []shardResult {
	prefixes := flow.WorkShardPrefixes(pool)
	results := make(chan shardResult, len(prefixes))
	timeout := endive.Interval(c.Store.adaptiveTimeout(time.Duration(c.Settings.Timings.StoreTimeout)))
	for _, prefix := range prefixes {
		go (&shardScan{cell: c, timeout: timeout, prefix: prefix, results: results}).run(ctx)
	}
	collected := make([]shardResult, 0, len(prefixes))
	for range prefixes {
		collected = append(collected, <-results)
	}
	return collected
}

// scanWork reads all work rows of a pool. The result has the lowest revision of the shards, so
// that the feed from this revision includes changes made during the scan.
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
