package cell

import (
	"context"
	"encoding/json"
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
	scan, err := c.Rows.Scan(ctx, flow.StatePrefix(queue.Pool), 0)
	if err != nil {
		return 0, err
	}
	q.counts = make(map[endive.QueueName]int)
	for _, row := range scan.Rows {
		var progress flow.Progress
		if err := json.Unmarshal(row.Value, &progress); err != nil {
			c.Log.Warn("the state of a workflow can't be read", "row", row.Key, "error", err.Error())
			continue
		}
		if progress.State == endive.WorkflowQueued {
			q.counts[progress.Queue]++
		}
	}
	q.readAt = now
	return q.counts[queue.Name], nil
}
