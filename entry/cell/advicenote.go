package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// reportAdvice gives an answer of the advice service to the pool's holder. One that is
// lost costs time only, since the holder then asks for itself.
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
		p.cell.Log.Info("advice isn't delivered", "pool", string(p.name), "step", string(request.step), "holder", string(holder))
	}
}

// handleAdviceNote takes in an answer that another entry got for a pool that is held here.
func (c *Cell) handleAdviceNote(m *wire.AdviceNote) {
	p := c.poolNamed(endive.PoolName(m.GetPool()))
	if p == nil || !p.holding.Load() {
		c.forwardAdvice(p, m)
		return
	}
	p.sendToFlow(adviceFromWire(m, c.Clock.Now()))
}

// adviceFromWire returns the advice that another entry told of.
func adviceFromWire(m *wire.AdviceNote, now time.Time) flow.ForwardedAdvice {
	return flow.ForwardedAdvice{
		Step: endive.StepID(m.GetStep()), Grants: grantsFromWire(m.GetGood()), Ineligible: workerIDs(m.GetBad()),
		Expiry: now.Add(time.Duration(m.GetValidityMillis()) * time.Millisecond),
	}
}

// forwardAdvice passes a note on to the entry that holds the pool now, as far as it is
// known here. The sender hasn't heard of it yet.
func (c *Cell) forwardAdvice(p *pool, m *wire.AdviceNote) {
	if p != nil && !m.GetForwarded() {
		m.Forwarded = true
		if c.peers.mesh.Send(p.currentHolder(), m) {
			return
		}
	}
	c.Log.Info("advice isn't taken", "pool", m.GetPool(), "step", m.GetStep(), "reason", "the pool isn't held here")
}

// grantsToWire returns grants as other entries are told of them.
func grantsToWire(grants []endive.AdviceGrant) []*wire.AdviceGrant {
	encoded := make([]*wire.AdviceGrant, 0, len(grants))
	for _, one := range grants {
		encoded = append(encoded, &wire.AdviceGrant{Worker: string(one.Worker), Ticket: string(one.Ticket)})
	}
	return encoded
}

// grantsFromWire returns grants that another entry told of.
func grantsFromWire(encoded []*wire.AdviceGrant) []endive.AdviceGrant {
	grants := make([]endive.AdviceGrant, 0, len(encoded))
	for _, one := range encoded {
		grants = append(grants, endive.AdviceGrant{Worker: endive.WorkerID(one.GetWorker()), Ticket: endive.AdviceTicket(one.GetTicket())})
	}
	return grants
}

// workerNames returns workers as other entries are told of them.
func workerNames(workers []endive.WorkerID) []string {
	names := make([]string, 0, len(workers))
	for _, id := range workers {
		names = append(names, string(id))
	}
	return names
}

// workerIDs returns workers that another entry told of.
func workerIDs(names []string) []endive.WorkerID {
	workers := make([]endive.WorkerID, 0, len(names))
	for _, name := range names {
		workers = append(workers, endive.WorkerID(name))
	}
	return workers
}
