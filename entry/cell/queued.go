package cell

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// queuedAge is how long a count by the rows is told to callers.
const queuedAge = time.Second

// queuedCounts counts the workflows of a pool that wait, by their rows.
type queuedCounts struct {
	mu     sync.Mutex
	counts map[endive.QueueName]int
	readAt time.Time
}

// count returns how many workflows of a queue wait.
func (q *queuedCounts) count(ctx context.Context, c *Cell, queue endive.Queue) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := c.Clock.Now()
	if !q.readAt.IsZero() && now.Sub(q.readAt) < queuedAge {
		return q.counts[queue.Name], nil
	}
	counts, err := c.countQueued(ctx, queue.Pool)
	if err != nil {
		return 0, err
	}
	q.counts = counts
	q.readAt = now
	return q.counts[queue.Name], nil
}

// countQueued counts the workflows of a pool of which nothing has begun, by their
// queues.
func (c *Cell) countQueued(ctx context.Context, pool endive.PoolName) (map[endive.QueueName]int, error) {
	// The states are read last, so that what begins meanwhile isn't counted.
	work, err := c.scanWork(ctx, pool)
	if err != nil {
		return nil, err
	}
	states, err := c.Rows.Scan(ctx, flow.StatePrefix(pool), 0)
	if err != nil {
		return nil, err
	}
	begun := make(map[endive.JobID]bool)
	for _, row := range states.Rows {
		var progress flow.Progress
		if err := json.Unmarshal(row.Value, &progress); err != nil {
			c.Log.Warn("the state of a workflow can't be read", "row", row.Key, "error", err.Error())
			continue
		}
		begun[endive.JobID(strings.TrimPrefix(row.Key, flow.StatePrefix(pool)))] = progress.State != endive.WorkflowQueued
	}
	counts := make(map[endive.QueueName]int)
	for _, row := range work.Rows {
		id, ok := flow.JobOfRow(pool, row.Key)
		if !ok || begun[id] {
			continue
		}
		var job endive.Submission
		if err := json.Unmarshal(row.Value, &job); err != nil {
			c.Log.Warn("a submission can't be read", "row", row.Key, "error", err.Error())
			continue
		}
		counts[job.Policy.Name]++
	}
	return counts, nil
}
