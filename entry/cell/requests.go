package cell

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// Match implements endive.Cell.
func (c *Cell) Match(host, path, key string) endive.QueueMatch {
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
	if match.Found {
		match.Caller, match.Access = c.authenticate(config, match.Queue, key)
	}
	return match
}

// State implements endive.Cell.
func (c *Cell) State(ctx context.Context, queue endive.Queue, caller endive.Caller, id endive.JobID) (endive.WorkflowState, error) {
	if state, ok := c.stateFromHolder(ctx, queue, caller, id); ok {
		return state, nil
	}
	if !c.Store.usable() {
		answer := c.relayClient.forward(ctx, newRelayAsk(wire.RelayKind_RELAY_STATE, queue, caller, id))
		return endive.WorkflowState(answer.GetState()), relayError(answer)
	}
	progress, _, err := c.findWorkflow(ctx, queue, caller, id)
	return progress.State, err
}

// findWorkflow returns the recorded progress of a workflow and the pool in which it is
// stored. It reads the queue's pool first and then all others, since the queue may have
// belonged to another pool when the workflow was submitted, and at last the row of the id, since
// this entry needn't know that pool. A workflow of another account than the caller's isn't found.
func (c *Cell) findWorkflow(ctx context.Context, queue endive.Queue, caller endive.Caller, id endive.JobID) (flow.Progress, endive.PoolName, error) {
	pools := []endive.PoolName{queue.Pool}
	for _, name := range c.poolNames() {
		if name != queue.Pool {
			pools = append(pools, name)
		}
	}
	for _, pool := range pools {
		if progress, found, err := c.findOwned(ctx, pool, caller, id); found || err != nil {
			return progress, pool, err
		}
	}
	pool, err := c.poolOf(ctx, id)
	if err != nil {
		return flow.Progress{}, "", err
	}
	if pool != "" && !slices.Contains(pools, pool) {
		if progress, found, err := c.findOwned(ctx, pool, caller, id); found || err != nil {
			return progress, pool, err
		}
	}
	return flow.Progress{}, "", endive.ErrNotFound.New("there is no workflow %s", id)
}

// findOwned returns the recorded progress of a workflow in a pool, and whether the pool has it and the
// caller may access it.
func (c *Cell) findOwned(ctx context.Context, pool endive.PoolName, caller endive.Caller, id endive.JobID) (flow.Progress, bool, error) {
	progress, found, err := c.findInPool(ctx, pool, id)
	if found && err == nil && progress.Account == "" && caller.Account != "" {
		progress.Account, err = c.findOwner(ctx, pool, id)
	}
	return progress, found && err == nil && caller.MayAccess(progress.Account), err
}

// poolOf returns the pool that the row of a workflow's id names; empty if there is no such row.
func (c *Cell) poolOf(ctx context.Context, id endive.JobID) (endive.PoolName, error) {
	rows, err := c.readWithRetry(ctx, flow.IDKey(id))
	if err != nil || len(rows) == 0 {
		return "", err
	}
	acceptance, err := flow.DecodeAcceptance(rows[0])
	if err != nil {
		return "", endive.ErrUnavailable.New("cannot decode the row of the id %s: %w", id, err)
	}
	return acceptance.Pool, nil
}

// findInPool returns the recorded progress of a workflow in a pool, and whether the pool has
// it. An accepted workflow without recorded progress is queued. Rows move from the table of
// states to that of ended workflows, so the tables are read in this order.
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
		if err != nil || len(rows) == 0 {
			return progress, false, err
		}
		acceptance, err := flow.DecodeAcceptance(rows[0])
		if err != nil {
			return progress, false, endive.ErrUnavailable.New("cannot decode the acceptance of workflow %s: %w", id, err)
		}
		progress.Account = acceptance.Account
		return progress, true, nil
	}
	if err := json.Unmarshal(rows[0].Value, &progress); err != nil {
		return progress, false, endive.ErrUnavailable.New("cannot decode the state of workflow %s: %w", id, err)
	}
	return progress, true, nil
}

// findOwner returns the account of a workflow whose progress names none; empty if it belongs to
// none. Entries of a build without accounts may have written the progress, the acceptance or
// both; the submission has what the client's entry wrote.
func (c *Cell) findOwner(ctx context.Context, pool endive.PoolName, id endive.JobID) (endive.AccountName, error) {
	for _, key := range []string{flow.AcceptedKey(pool, id), flow.JobKey(pool, id)} {
		rows, err := c.readWithRetry(ctx, key)
		if err != nil {
			return "", err
		}
		if len(rows) == 0 {
			continue
		}
		// Both rows name the account alike.
		acceptance, err := flow.DecodeAcceptance(rows[0])
		if err != nil {
			return "", endive.ErrUnavailable.New("cannot decode the account of workflow %s: %w", id, err)
		}
		if acceptance.Account != "" {
			return acceptance.Account, nil
		}
	}
	return "", nil
}

// readWithRetry reads a row. It retries failed reads while the store is usable.
func (c *Cell) readWithRetry(ctx context.Context, key string) ([]endive.Row, error) {
	for {
		rows, err := c.Store.Read(endive.WithStallTimeout(ctx, c.Settings.Timings.StoreTimeout), key)
		if err == nil || ctx.Err() != nil || !c.Store.usable() {
			return rows, err
		}
		c.sleep(storeRetryDelay)
	}
}

// Cancel implements endive.Cell.
func (c *Cell) Cancel(ctx context.Context, queue endive.Queue, caller endive.Caller, id endive.JobID) error {
	var err error
	if c.Store.usable() {
		err = c.cancelLocally(ctx, queue, caller, id)
	} else {
		err = relayError(c.relayClient.forward(ctx, newRelayAsk(wire.RelayKind_RELAY_CANCEL, queue, caller, id)))
	}
	outcome := "recorded"
	if err != nil {
		outcome = err.Error()
	}
	c.Log.Info("decision", "kind", "cancel", "job", string(id), "queue", string(queue.Name),
		"account", string(caller.Account), "outcome", outcome)
	return err
}

// cancelLocally writes a cancellation to the store from this entry. Before it returns ErrNotFound, it
// makes sure that a submission which is still on its way isn't stored later.
func (c *Cell) cancelLocally(ctx context.Context, queue endive.Queue, caller endive.Caller, id endive.JobID) error {
	err := c.cancelStored(ctx, queue, caller, id)
	if !endive.ErrNotFound.Has(err) {
		return err
	}
	revoked := c.commitWithRetry(ctx, flow.RevokeTransaction(queue.Pool, c.poolNames(), id, caller.Account))
	switch {
	case revoked == nil:
		return err
	case endive.ErrConflict.Has(revoked):
		// It was stored or revoked meanwhile, or belongs to another account.
		return c.cancelStored(ctx, queue, caller, id)
	default:
		return revoked
	}
}

// cancelStored writes a cancellation of a stored workflow.
func (c *Cell) cancelStored(ctx context.Context, queue endive.Queue, caller endive.Caller, id endive.JobID) error {
	progress, pool, err := c.findWorkflow(ctx, queue, caller, id)
	if err != nil || progress.State.Ended() {
		return err
	}
	return c.commitWithRetry(ctx, endive.Transaction{Writes: []endive.Write{flow.CancelWrite(pool, id)}})
}

// commitWithRetry writes a transaction and retries if it fails, but not after a conflict.
func (c *Cell) commitWithRetry(ctx context.Context, txn endive.Transaction) error {
	for try := 1; ; try++ {
		err := c.commit(ctx, txn)
		if err == nil || endive.ErrConflict.Has(err) || try == maxSubmitTries || ctx.Err() != nil {
			return err
		}
		c.sleep(storeRetryDelay)
	}
}

// Pending implements endive.Cell.
func (c *Cell) Pending(ctx context.Context, queue endive.Queue) (int, error) {
	if !c.Store.usable() {
		answer := c.relayClient.forward(ctx, newRelayAsk(wire.RelayKind_RELAY_PENDING, queue, endive.Caller{}, ""))
		return int(answer.GetPending()), relayError(answer)
	}
	return c.pendingLocally(queue)
}

// statusMaxAge is the maximum age of a pool's status row that clients are answered from. The
// holder writes the row at least every 1.5 s.
const statusMaxAge = 2500 * time.Millisecond

// queueNamed returns the configured queue with the name of the given one, or the given one if there is
// none. A relayed request has the queue's name and pool only.
func (c *Cell) queueNamed(queue endive.Queue) endive.Queue {
	config := c.config.current()
	if config == nil {
		return queue
	}
	for _, configured := range config.Queues {
		if configured.Name == queue.Name {
			return configured
		}
	}
	return queue
}

// pendingLocally returns the count of pending workflows in the last status rows of the pools. It
// fails while the queue's pool has no holder. A queue that has moved to another pool may still have
// workflows in its former one. Counting the rows instead, in each entry, would saturate the
// cross-region links just when a new holder needs them.
func (c *Cell) pendingLocally(queue endive.Queue) (int, error) {
	p := c.poolNamed(queue.Pool)
	if p == nil {
		return 0, nil
	}
	status := p.status.Load()
	age := c.Platform.AtLeast(c.Clock.Now()) - status.At
	if age > endive.PlatformTime(statusMaxAge.Milliseconds()) {
		return 0, endive.ErrUnavailable.New("the status of pool %s is %d ms old", p.name, int64(age))
	}
	total := 0
	for _, other := range c.allPools() {
		count, known := other.status.Load().PendingOf(queue)
		if !known && other == p {
			return 0, endive.ErrUnavailable.New("the status of pool %s has no space for the queue", p.name)
		}
		total += count
	}
	return total, nil
}
