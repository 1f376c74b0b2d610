package cell

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// The holder of a pool receives new work through the store's change feed. While the store is
// slow, the feed is delayed by as much as a short workflow may take in all. The entry that
// stored a submission then also sends it to the holder directly.

// notifyStored sends a stored submission to the pool's holder if the store is slow. If the
// message is lost, the holder receives the submission later through the feed.
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

// handleStored handles a stored submission if this entry holds its pool.
func (c *Cell) handleStored(pool endive.PoolName, id endive.JobID, job []byte) {
	p := c.poolNamed(pool)
	if p == nil || !p.holding.Load() {
		return
	}
	p.sendToFlow(flow.WorkflowStored{Row: endive.Row{Key: flow.JobKey(pool, id), Value: job}})
}
