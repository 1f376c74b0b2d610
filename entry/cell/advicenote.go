package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// reportAdvice sends an answer of the advice service to the pool's holder. A lost message
// only costs time, since the holder then sends a request of its own.
func (p *pool) reportAdvice(request adviceRequest, advice endive.Advice) {
	ineligible := flow.IneligibleWorkers(request.workers, advice.Grants)
	if p.holding.Load() {
		p.sendToFlow(flow.ForwardedAdvice{Step: request.step, Grants: advice.Grants, Ineligible: ineligible, Expiry: advice.Validity.After(p.cell.Clock.Now())})
		return
	}
	message := &wire.AdviceNote{
		Pool: string(p.name), Step: string(request.step), Good: grantsToWire(advice.Grants), Bad: workerNames(ineligible),
		ValidityMillis: time.Duration(advice.Validity).Milliseconds(),
	}
	if holder := p.currentHolder(); !p.cell.peers.mesh.Send(holder, message) {
		p.cell.Log.Info("advice for the pool's holder could not be sent", "pool", string(p.name), "step", string(request.step), "holder", string(holder))
	}
}

// handleAdviceNote handles an answer of the advice service that another entry received for
// a pool. If this entry doesn't hold the pool, it forwards the answer to the holder.
func (c *Cell) handleAdviceNote(m *wire.AdviceNote) {
	p := c.poolNamed(endive.PoolName(m.GetPool()))
	if p == nil || !p.holding.Load() {
		c.forwardAdvice(p, m)
		return
	}
	p.sendToFlow(adviceFromWire(m, c.Clock.Now()))
}

// adviceFromWire decodes the advice in a message of another entry.
func adviceFromWire(m *wire.AdviceNote, now time.Time) flow.ForwardedAdvice {
	return flow.ForwardedAdvice{
		Step: endive.StepID(m.GetStep()), Grants: grantsFromWire(m.GetGood()), Ineligible: workerIDs(m.GetBad()),
		Expiry: now.Add(time.Duration(m.GetValidityMillis()) * time.Millisecond),
	}
}

// forwardAdvice forwards a note to the pool's current holder, as far as this entry knows
// it, because the sender has an outdated holder. A note is forwarded once at most.
func (c *Cell) forwardAdvice(p *pool, m *wire.AdviceNote) {
	if p != nil && !m.GetForwarded() {
		m.Forwarded = true
		if c.peers.mesh.Send(p.currentHolder(), m) {
			return
		}
	}
	c.Log.Info("advice dropped", "pool", m.GetPool(), "step", m.GetStep(), "reason", "this entry doesn't hold the pool")
}

// grantsToWire encodes grants for a message to another entry.
func grantsToWire(grants []endive.AdviceGrant) []*wire.AdviceGrant {
	encoded := make([]*wire.AdviceGrant, 0, len(grants))
	for _, grant := range grants {
		encoded = append(encoded, &wire.AdviceGrant{Worker: string(grant.Worker), Ticket: string(grant.Ticket)})
	}
	return encoded
}

// grantsFromWire decodes the grants in a message of another entry.
func grantsFromWire(encoded []*wire.AdviceGrant) []endive.AdviceGrant {
	grants := make([]endive.AdviceGrant, 0, len(encoded))
	for _, grant := range encoded {
		grants = append(grants, endive.AdviceGrant{Worker: endive.WorkerID(grant.GetWorker()), Ticket: endive.AdviceTicket(grant.GetTicket())})
	}
	return grants
}

// workerNames encodes worker IDs for a message to another entry.
func workerNames(workers []endive.WorkerID) []string {
	names := make([]string, 0, len(workers))
	for _, id := range workers {
		names = append(names, string(id))
	}
	return names
}

// workerIDs decodes the worker IDs in a message of another entry.
func workerIDs(names []string) []endive.WorkerID {
	workers := make([]endive.WorkerID, 0, len(names))
	for _, name := range names {
		workers = append(workers, endive.WorkerID(name))
	}
	return workers
}
