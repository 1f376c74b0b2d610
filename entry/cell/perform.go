package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
)

// perform carries out one action of a machine. Everything that takes time goes to
// a goroutine of its own, which sends the answer back as an event.
func (p *pool) perform(from machineKind, action endive.Action) {
	switch a := action.(type) {
	case endive.SetWake:
		p.wakeAt(from, a.At)
	case elect.Commit:
		go (&commitCall{pool: p, to: toElect, transaction: a.Transaction}).run()
	case elect.ReadLease:
		p.look()
	case elect.TenureBegan:
		p.tenureBegan(a)
	case elect.TenureRenewed:
		p.told.extend(a.LeaseEnd)
		p.tell(flow.TenureRenewed{LeaseEnd: a.LeaseEnd})
	case elect.TenureEnded:
		p.cell.Log.Info("pool is lost", "pool", string(p.name), "reason", a.Reason)
		p.endFollow()
		p.told.clear()
		p.left = a.Lease
		p.tell(flow.TenureEnded{HandOver: a.Released && p.successor.Load() != endive.EntryID("")})
	case flow.PublishState:
		p.told.take(a)
	case flow.HandOver:
		p.give(a.Snapshot)
	case flow.Fenced:
		p.send(toElect, elect.Fenced{Epoch: a.Epoch})
	case flow.LoadSnapshot:
		p.endFollow()
		p.follow = newFollow(p, a.Epoch, p.given.Swap(nil))
		go p.follow.run()
	case flow.Commit:
		go (&commitCall{pool: p, to: toFlow, transaction: a.Transaction}).run()
	case flow.PollWorker:
		go (&holdCall{pool: p, order: a.Order}).run()
	case flow.StartRun:
		go (&startCall{pool: p, order: a.Order, sendBy: a.SendBy}).run()
	case flow.StopRun:
		go (&stopCall{pool: p, order: a.Order}).run()
	case flow.RequestAdvice:
		p.cell.helpers.ask(question{step: a.Step, workers: a.Workers, pool: p, own: true, cost: a.Cost})
	case flow.Decision:
		p.logNote(a)
	}
}

func (p *pool) tenureBegan(a elect.TenureBegan) {
	p.cell.Log.Info("pool is held", "pool", string(p.name), "epoch", uint64(a.Epoch))
	p.told.extend(a.LeaseEnd)
	p.cell.peers.tellTaken(p.name, a.Epoch)
	seen, _ := p.cell.workers.seenOf(p.name)
	p.tell(seen)
	p.tell(flow.TenureBegan{
		Epoch: a.Epoch, FenceVersion: a.FenceVersion, LeaseEnd: a.LeaseEnd, PreviousLeaseEnd: a.PreviousLeaseEnd, Forecasts: p.status.Load().Forecasts,
	})
}

func (p *pool) endFollow() {
	if p.follow != nil {
		p.follow.cancel()
		p.follow = nil
	}
}

// wakeAt replaces the wake-up of a machine.
func (p *pool) wakeAt(machine machineKind, at time.Time) {
	if p.alarms[machine] != nil {
		p.alarms[machine].Stop()
	}
	alarm := &alarm{pool: p, machine: machine}
	p.alarms[machine] = time.AfterFunc(max(0, at.Sub(p.cell.Clock.Now())), alarm.ring)
}

// alarm wakes one machine of a pool.
type alarm struct {
	pool    *pool
	machine machineKind
}

func (a *alarm) ring() { a.pool.send(a.machine, endive.Wake{}) }

// logNote writes a decision to the log.
func (p *pool) logNote(n flow.Decision) {
	p.cell.Counters.noted(n)
	p.cell.Log.Info("decision", "pool", string(p.name), "kind", string(n.Kind), "job", string(n.Job), "task", string(n.Task),
		"run", int64(n.Run), "worker", string(n.Worker), "outcome", n.Outcome, "reason", n.Reason)
}
