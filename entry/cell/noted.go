package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// noteAdvice gives an answer of the advice service to the pool's holder. One that is
// lost costs time only, since the holder then asks for itself.
func (p *pool) noteAdvice(q question, advice endive.Advice) {
	bad := flow.IneligibleWorkers(q.workers, advice.Grants)
	if p.holds.Load() {
		p.tell(flow.ForwardedAdvice{Step: q.step, Grants: advice.Grants, Ineligible: bad, Expiry: advice.Validity.After(p.cell.Clock.Now())})
		return
	}
	note := &wire.AdviceNote{
		Pool: string(p.name), Step: string(q.step), Good: grantsOf(advice.Grants), Bad: namesOf(bad),
		ValidityMillis: time.Duration(advice.Validity).Milliseconds(),
	}
	if holder := p.heldIn(); !p.cell.peers.mesh.Send(holder, note) {
		p.cell.Log.Info("advice isn't delivered", "pool", string(p.name), "step", string(q.step), "holder", string(holder))
	}
}

// adviceNoted takes in an answer that another entry got for a pool that is held here.
func (c *Cell) adviceNoted(m *wire.AdviceNote) {
	p := c.poolNamed(endive.PoolName(m.GetPool()))
	if p == nil || !p.holds.Load() {
		c.forwardAdvice(p, m)
		return
	}
	p.tell(adviceIn(m, c.Clock.Now()))
}

// adviceIn returns the advice that another entry told of.
func adviceIn(m *wire.AdviceNote, now time.Time) flow.ForwardedAdvice {
	return flow.ForwardedAdvice{
		Step: endive.StepID(m.GetStep()), Grants: grantsIn(m.GetGood()), Ineligible: workersIn(m.GetBad()),
		Expiry: now.Add(time.Duration(m.GetValidityMillis()) * time.Millisecond),
	}
}

// forwardAdvice passes a note on to the entry that holds the pool now, as far as it is
// known here. The sender hasn't heard of it yet.
func (c *Cell) forwardAdvice(p *pool, m *wire.AdviceNote) {
	if p != nil && !m.GetForwarded() {
		m.Forwarded = true
		if c.peers.mesh.Send(p.heldIn(), m) {
			return
		}
	}
	c.Log.Info("advice isn't taken", "pool", m.GetPool(), "step", m.GetStep(), "reason", "the pool isn't held here")
}

// grantsOf returns grants as other entries are told of them.
func grantsOf(grants []endive.AdviceGrant) []*wire.AdviceGrant {
	told := make([]*wire.AdviceGrant, 0, len(grants))
	for _, one := range grants {
		told = append(told, &wire.AdviceGrant{Worker: string(one.Worker), Ticket: string(one.Ticket)})
	}
	return told
}

// grantsIn returns grants that another entry told of.
func grantsIn(told []*wire.AdviceGrant) []endive.AdviceGrant {
	grants := make([]endive.AdviceGrant, 0, len(told))
	for _, one := range told {
		grants = append(grants, endive.AdviceGrant{Worker: endive.WorkerID(one.GetWorker()), Ticket: endive.AdviceTicket(one.GetTicket())})
	}
	return grants
}

// namesOf returns workers as other entries are told of them.
func namesOf(workers []endive.WorkerID) []string {
	names := make([]string, 0, len(workers))
	for _, id := range workers {
		names = append(names, string(id))
	}
	return names
}

// workersIn returns workers that another entry told of.
func workersIn(names []string) []endive.WorkerID {
	workers := make([]endive.WorkerID, 0, len(names))
	for _, name := range names {
		workers = append(workers, endive.WorkerID(name))
	}
	return workers
}
