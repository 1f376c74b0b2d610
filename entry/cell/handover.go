package cell

import (
	"context"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// An entry that ends gives its pools to others: it chooses one that can go on at once,
// gives the lease up, and sends what it knows together with the lease's row. The other
// needs one write to hold the pool, and reads the list of workers only.

// handOver gives a pool up, to an entry that reaches the store if there is one.
type handOver struct{ pool *pool }

func (h *handOver) run() {
	p := h.pool
	if p.holds.Load() {
		ctx, cancel := context.WithTimeout(p.cell.ctx, relayTimeout)
		defer cancel()
		if to, ok := p.cell.relays.findAble(ctx, p.cell.peers.successors(p.name)); ok {
			p.successor.Store(to)
		}
	}
	p.giveUp()
}

// give sends what is known of a pool to its next holder.
func (p *pool) give(state flow.PoolSnapshot) {
	to := p.successor.Load().(endive.EntryID)
	now := p.cell.Clock.Now()
	message := &wire.PoolHandOver{
		Pool: string(p.name), Epoch: uint64(state.Epoch), LeaseVersion: uint64(p.left.Version), Lease: p.left.Value,
		Revision: uint64(state.Revision), Work: rowsOf(state.WorkRows), States: rowsOf(state.StateRows),
	}
	for _, id := range state.EndedJobs {
		message.Ended = append(message.Ended, string(id))
	}
	for _, one := range state.Roster {
		message.Roster = append(message.Roster,
			&wire.PoolWorker{Id: string(one.ID), Address: string(one.Address), Draining: one.Draining, Gone: one.Terminated})
	}
	for _, one := range state.Advice {
		message.Advice = append(message.Advice, &wire.AdviceNote{
			Step: string(one.Step), Good: grantsOf(one.Grants), Bad: namesOf(one.Ineligible), ValidityMillis: one.Expiry.Sub(now).Milliseconds(),
		})
	}
	sent := p.cell.peers.mesh.Send(to, message)
	p.cell.Log.Info("pool is given on", "pool", string(p.name), "entry", string(to), "epoch", uint64(state.Epoch),
		"workflows", len(state.WorkRows), "sent", sent)
}

// handedOver takes in what the last holder of a pool gives to this entry.
func (c *Cell) handedOver(m *wire.PoolHandOver) {
	p := c.poolNamed(endive.PoolName(m.GetPool()))
	if p == nil || c.leaving.Load() {
		return
	}
	given := &flow.PoolSnapshot{
		Epoch: endive.Epoch(m.GetEpoch()), Revision: endive.Revision(m.GetRevision()),
		WorkRows: rowsIn(m.GetWork()), StateRows: rowsIn(m.GetStates()),
	}
	for _, id := range m.GetEnded() {
		given.EndedJobs = append(given.EndedJobs, endive.JobID(id))
	}
	for _, one := range m.GetRoster() {
		given.Roster = append(given.Roster, flow.RosterWorker{
			ID: endive.WorkerID(one.GetId()), Address: endive.Address(one.GetAddress()), Draining: one.GetDraining(), Terminated: one.GetGone(),
		})
	}
	now := c.Clock.Now()
	for _, one := range m.GetAdvice() {
		given.Advice = append(given.Advice, adviceIn(one, now))
	}
	p.given.Store(given)
	p.send(toElect, elect.Offered{Lease: elect.LeaseRow{Version: endive.Version(m.GetLeaseVersion()), Value: m.GetLease()}})
}

// loadGiven takes over what the last holder gave, with the list of workers as it is now.
func (f *follow) loadGiven() (flow.PoolSnapshot, error) {
	if err := f.pool.cell.workers.refresh(); err != nil {
		return flow.PoolSnapshot{}, err
	}
	loaded := *f.given
	loaded.Epoch = f.epoch
	f.after = loaded.Revision
	return loaded, nil
}

// rowsOf returns rows as another entry is told of them.
func rowsOf(rows []endive.Row) []*wire.PoolRow {
	told := make([]*wire.PoolRow, 0, len(rows))
	for _, row := range rows {
		told = append(told, &wire.PoolRow{Key: row.Key, Value: row.Value})
	}
	return told
}

// rowsIn returns rows that another entry told of.
func rowsIn(told []*wire.PoolRow) []endive.Row {
	rows := make([]endive.Row, 0, len(told))
	for _, one := range told {
		rows = append(rows, endive.Row{Key: one.GetKey(), Value: one.GetValue()})
	}
	return rows
}
