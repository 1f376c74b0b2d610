package cell

import (
	"context"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// In a planned stop an entry hands each of its pools over: it chooses a successor that reaches
// the store, releases the lease, and sends the pool's state together with the lease's row.
// The successor then acquires the pool with one write and has to read only the list of
// workers.

// handOver chooses a successor for a pool, if a linked entry reaches the store, and releases the
// pool.
type handOver struct{ pool *pool }

func (h *handOver) run() {
	p := h.pool
	if p.holding.Load() {
		ctx, cancel := context.WithTimeout(p.cell.ctx, relayTimeout)
		defer cancel()
		if successor, ok := p.cell.relayClient.findCapable(ctx, p.cell.peers.successors(p.name)); ok {
			p.successor.Store(successor)
		}
	}
	p.release()
}

// sendHandOver sends the state of a pool to the successor.
func (p *pool) sendHandOver(state flow.PoolSnapshot) {
	successor := p.successor.Load().(endive.EntryID)
	now := p.cell.Clock.Now()
	message := &wire.PoolHandOver{
		Pool: string(p.name), Epoch: uint64(state.Epoch), LeaseVersion: uint64(p.releasedLease.Version), Lease: p.releasedLease.Value,
		Revision: uint64(state.Revision), Work: rowsToWire(state.WorkRows), States: rowsToWire(state.StateRows),
	}
	for _, id := range state.EndedJobs {
		message.Ended = append(message.Ended, string(id))
	}
	for _, worker := range state.Roster {
		message.Roster = append(message.Roster, workerToWire(worker))
	}
	for account, part := range state.QuotaParts {
		message.QuotaParts = append(message.QuotaParts, &wire.QuotaPart{Account: string(account), Part: wire.NewResourceCount(part)})
	}
	for _, advice := range state.Advice {
		message.Advice = append(message.Advice, &wire.AdviceNote{
			Step: string(advice.Step), Good: grantsToWire(advice.Grants), Bad: workerNames(advice.Ineligible), ValidityMillis: advice.Expiry.Sub(now).Milliseconds(),
		})
	}
	sent := p.cell.peers.mesh.Send(successor, message)
	p.cell.Log.Info("pool is given on", "pool", string(p.name), "entry", string(successor), "epoch", uint64(state.Epoch),
		"workflows", len(state.WorkRows), "sent", sent)
}

// receiveHandOver stores the state from a pool's previous holder and starts to acquire the pool.
func (c *Cell) receiveHandOver(m *wire.PoolHandOver) {
	p := c.poolNamed(endive.PoolName(m.GetPool()))
	if p == nil || c.draining.Load() {
		return
	}
	state := &flow.PoolSnapshot{
		Epoch: endive.Epoch(m.GetEpoch()), Revision: endive.Revision(m.GetRevision()),
		WorkRows: rowsFromWire(m.GetWork()), StateRows: rowsFromWire(m.GetStates()),
	}
	for _, id := range m.GetEnded() {
		state.EndedJobs = append(state.EndedJobs, endive.JobID(id))
	}
	for _, worker := range m.GetRoster() {
		state.Roster = append(state.Roster, workerFromWire(worker))
	}
	state.QuotaParts = make(map[endive.AccountName]endive.Resources)
	for _, part := range m.GetQuotaParts() {
		state.QuotaParts[endive.AccountName(part.GetAccount())] = part.GetPart().Resources()
	}
	now := c.Clock.Now()
	for _, advice := range m.GetAdvice() {
		state.Advice = append(state.Advice, adviceFromWire(advice, now))
	}
	p.handedOver.Store(state)
	p.send(electMachine, elect.Offered{Lease: elect.LeaseRow{Version: endive.Version(m.GetLeaseVersion()), Value: m.GetLease()}})
}

// loadHandedOver returns the handed-over state after reading the current list of workers.
func (f *workFollower) loadHandedOver() (flow.PoolSnapshot, error) {
	if err := f.pool.cell.workers.refresh(); err != nil {
		return flow.PoolSnapshot{}, err
	}
	loaded := *f.handedOver
	loaded.Epoch = f.epoch
	f.revision = loaded.Revision
	return loaded, nil
}

// workerToWire encodes a worker of the roster for a message to another entry.
func workerToWire(w flow.RosterWorker) *wire.PoolWorker {
	encoded := &wire.PoolWorker{
		Id: string(w.ID), Address: string(w.Address), Draining: w.Draining, Gone: w.Terminated, Capacity: wire.NewResourceCount(w.Capacity), TasksKnown: w.TasksKnown,
	}
	for _, task := range w.Tasks {
		encoded.Tasks = append(encoded.Tasks, string(task))
	}
	return encoded
}

// workerFromWire decodes a worker of the roster from a message of another entry.
func workerFromWire(w *wire.PoolWorker) flow.RosterWorker {
	decoded := flow.RosterWorker{
		ID: endive.WorkerID(w.GetId()), Address: endive.Address(w.GetAddress()), Draining: w.GetDraining(), Terminated: w.GetGone(),
		Capacity: w.GetCapacity().Resources(), TasksKnown: w.GetTasksKnown(),
	}
	for _, task := range w.GetTasks() {
		decoded.Tasks = append(decoded.Tasks, endive.TaskID(task))
	}
	return decoded
}

// rowsToWire encodes rows for a message to another entry.
func rowsToWire(rows []endive.Row) []*wire.PoolRow {
	encoded := make([]*wire.PoolRow, 0, len(rows))
	for _, row := range rows {
		encoded = append(encoded, &wire.PoolRow{Key: row.Key, Value: row.Value})
	}
	return encoded
}

// rowsFromWire decodes rows from a message of another entry.
func rowsFromWire(encoded []*wire.PoolRow) []endive.Row {
	rows := make([]endive.Row, 0, len(encoded))
	for _, row := range encoded {
		rows = append(rows, endive.Row{Key: row.GetKey(), Value: row.GetValue()})
	}
	return rows
}
