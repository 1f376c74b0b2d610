package cell

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// Match implements endive.Cell.
func (c *Cell) Match(host, path string) endive.QueueMatch {
	config := c.config.current()
	if config == nil {
		return endive.QueueMatch{}
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	match := endive.QueueMatch{ConfigVersion: config.Version}
	for _, queue := range config.Queues {
		if !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if !match.Found || len(queue.Prefix) > len(match.Queue.Prefix) {
			match.Queue, match.Found = queue, true
			match.Rest = path[len(queue.Prefix):]
		}
	}
	return match
}

// State implements endive.Cell.
func (c *Cell) State(ctx context.Context, queue endive.Queue, id endive.JobID) (endive.WorkflowState, error) {
	if state, ok := c.stateFromHolder(ctx, queue, id); ok {
		return state, nil
	}
	if !c.Store.usable() {
		answer := c.relayClient.forward(ctx, newRelayAsk(wire.RelayKind_RELAY_STATE, queue, id))
		return endive.WorkflowState(answer.GetState()), relayError(answer)
	}
	progress, _, err := c.findWorkflow(ctx, queue, id)
	return progress.State, err
}

// findWorkflow returns what is recorded of a workflow and the pool where it is: the
// queue's, or one that the queue belonged to before.
func (c *Cell) findWorkflow(ctx context.Context, queue endive.Queue, id endive.JobID) (flow.Progress, endive.PoolName, error) {
	pools := []endive.PoolName{queue.Pool}
	for _, p := range c.allPools() {
		if p.name != queue.Pool {
			pools = append(pools, p.name)
		}
	}
	for _, pool := range pools {
		progress, found, err := c.findInPool(ctx, pool, id)
		if found || err != nil {
			return progress, pool, err
		}
	}
	return flow.Progress{}, "", endive.ErrNotFound.New("there is no workflow %s", id)
}

// findInPool looks for a workflow in a pool. One of which nothing is recorded waits. What is
// recorded moves on from table to table, so they are read in that order.
func (c *Cell) findInPool(ctx context.Context, pool endive.PoolName, id endive.JobID) (flow.Progress, bool, error) {
	progress := flow.Progress{State: endive.WorkflowQueued}
	rows, err := c.readWithRetry(ctx, flow.StateKey(pool, id))
	if err == nil && len(rows) == 0 {
		rows, err = c.readWithRetry(ctx, flow.EndedKey(pool, id))
	}
	if err != nil {
		return progress, false, err
	}
	if len(rows) == 0 {
		rows, err = c.readWithRetry(ctx, flow.AcceptedKey(pool, id))
		return progress, len(rows) > 0, err
	}
	if err := json.Unmarshal(rows[0].Value, &progress); err != nil {
		return progress, false, endive.ErrUnavailable.New("the state of %s can't be read: %w", id, err)
	}
	return progress, true, nil
}

// readWithRetry reads a row, and tries again where the store didn't answer.
func (c *Cell) readWithRetry(ctx context.Context, key string) ([]endive.Row, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, time.Duration(c.Settings.Timings.StoreTimeout))
		rows, err := c.Store.Read(limited, key)
		cancel()
		if err == nil || ctx.Err() != nil || !c.Store.usable() {
			return rows, err
		}
		c.sleep(storeRetryDelay)
	}
}

// Cancel implements endive.Cell.
func (c *Cell) Cancel(ctx context.Context, queue endive.Queue, id endive.JobID) error {
	var err error
	if c.Store.usable() {
		err = c.cancelLocally(ctx, queue, id)
	} else {
		err = relayError(c.relayClient.forward(ctx, newRelayAsk(wire.RelayKind_RELAY_CANCEL, queue, id)))
	}
	outcome := "recorded"
	if err != nil {
		outcome = err.Error()
	}
	c.Log.Info("decision", "kind", "cancel", "job", string(id), "queue", string(queue.Name), "outcome", outcome)
	return err
}

// cancelLocally records a cancelling by this entry itself.
func (c *Cell) cancelLocally(ctx context.Context, queue endive.Queue, id endive.JobID) error {
	progress, pool, err := c.findWorkflow(ctx, queue, id)
	if err != nil || progress.State.Ended() {
		return err
	}
	return c.writeCancel(ctx, pool, id)
}

func (c *Cell) writeCancel(ctx context.Context, pool endive.PoolName, id endive.JobID) error {
	txn := endive.Transaction{Writes: []endive.Write{{Key: flow.CancelKey(pool, id), Value: []byte("{}")}}}
	for try := 1; ; try++ {
		err := c.commit(ctx, txn)
		if err == nil || try == maxSubmitTries || ctx.Err() != nil {
			return err
		}
		c.sleep(storeRetryDelay)
	}
}

// Pending implements endive.Cell.
func (c *Cell) Pending(ctx context.Context, queue endive.Queue) (int, error) {
	if !c.Store.usable() {
		answer := c.relayClient.forward(ctx, newRelayAsk(wire.RelayKind_RELAY_PENDING, queue, ""))
		return int(answer.GetPending()), relayError(answer)
	}
	return c.pendingLocally(queue)
}

// statusMaxAge is how old the word of a pool's holder may be for callers to be told
// by it. A holder renews it every second and a half.
const statusMaxAge = 2500 * time.Millisecond

// pendingLocally tells what the pool's holder told last. While nobody holds the pool the
// count isn't known: reading all rows for it, at each entry, would fill the links
// between the regions just when a new holder needs them.
func (c *Cell) pendingLocally(queue endive.Queue) (int, error) {
	p := c.poolNamed(queue.Pool)
	if p == nil {
		return 0, nil
	}
	status := p.status.Load()
	age := c.Platform.AtLeast(c.Clock.Now()) - status.At
	if age > endive.PlatformTime(statusMaxAge.Milliseconds()) {
		return 0, endive.ErrUnavailable.New("the holder of pool %s last told %d ms ago what waits", p.name, int64(age))
	}
	return status.Pending[queue.Name], nil
}
