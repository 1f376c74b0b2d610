package cell

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// The holder of a pool hears of new work by the store's feed, which tells of it as soon as
// it is stored. While the store is slow, its feed is as well, by as much as a quick
// workflow may take: then the entry that has stored one tells the holder itself.

// notifyStored tells the holder of a pool of a submission that was stored. A message that is
// lost costs time only.
func (c *Cell) notifyStored(pool endive.PoolName, id endive.JobID, job []byte) {
	p := c.poolNamed(pool)
	if p == nil || !c.Store.isSlow() {
		return
	}
	if p.holding.Load() {
		c.handleStored(pool, id, job)
		return
	}
	if holder := p.currentHolder(); holder != "" {
		c.peers.mesh.Send(holder, &wire.RelayAsk{Kind: wire.RelayKind_RELAY_STORED, Pool: string(pool), Job: string(id), Submission: job})
	}
}

// handleStored takes in a submission that an entry has stored for a pool that is held here.
func (c *Cell) handleStored(pool endive.PoolName, id endive.JobID, job []byte) {
	p := c.poolNamed(pool)
	if p == nil || !p.holding.Load() {
		return
	}
	p.sendToFlow(flow.WorkChanged{Rows: []endive.Row{{Key: flow.JobKey(pool, id), Value: job}}})
}
