package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
)

// perform executes one action of a state machine. Calls that block run in their own
// goroutine, which sends the result back as an event.
func (p *pool) perform(from machineKind, action endive.Action) {
	switch a := action.(type) {
	case endive.SetWake:
		p.setWakeTimer(from, a.At)
	case elect.Commit:
		go (&commitCall{pool: p, machine: electMachine, transaction: a.Transaction}).run()
	case elect.ReadLease:
		p.readLease()
	case elect.TenureBegan:
		p.handleTenureBegan(a)
	case elect.TenureRenewed:
		p.states.setExpiry(a.LeaseEnd)
		p.sendToFlow(flow.TenureRenewed{LeaseEnd: a.LeaseEnd})
	case elect.TenureEnded:
		p.cell.Log.Info("pool is lost", "pool", string(p.name), "reason", a.Reason)
		p.stopFollower()
		p.states.clear()
		p.releasedLease = a.Lease
		p.sendToFlow(flow.TenureEnded{HandOver: a.Released && p.successor.Load() != endive.EntryID("")})
	case flow.PublishState:
		p.states.apply(a)
	case flow.HandOver:
		p.sendHandOver(a.Snapshot)
	case flow.Fenced:
		p.send(electMachine, elect.Fenced{Epoch: a.Epoch})
	case flow.LoadSnapshot:
		p.stopFollower()
		p.follower = newFollower(p, a.Epoch, p.handedOver.Swap(nil))
		go p.follower.run()
	case flow.Commit:
		go (&commitCall{pool: p, machine: flowMachine, transaction: a.Transaction}).run()
	case flow.PollWorker:
		go (&pollCall{pool: p, order: a.Order, poll: a.Poll}).run()
	case flow.StartRun:
		go (&startCall{pool: p, order: a.Order, sendDeadline: a.SendBy}).run()
	case flow.StopRun:
		go (&stopCall{pool: p, order: a.Order}).run()
	case flow.RequestAdvice:
		p.cell.adviceRouter.route(adviceRequest{step: a.Step, workers: a.Workers, pool: p, fromHolder: true, cost: a.Cost})
	case flow.AccountsUsed:
		p.cell.Counters.recordAccounts(p.name, a)
	case flow.Decision:
		p.logDecision(a)
	}
}

func (p *pool) handleTenureBegan(a elect.TenureBegan) {
	p.cell.Log.Info("pool is held", "pool", string(p.name), "epoch", uint64(a.Epoch))
	p.states.setExpiry(a.LeaseEnd)
	p.cell.peers.announceHolding(p.name, a.Epoch)
	p.cell.workers.beginTenure(p)
	p.sendToFlow(flow.TenureBegan{
		Epoch: a.Epoch, FenceVersion: a.FenceVersion, LeaseEnd: a.LeaseEnd, PreviousLeaseEnd: a.PreviousLeaseEnd, Forecasts: p.status.Load().Forecasts,
	})
}

func (p *pool) stopFollower() {
	if p.follower != nil {
		p.follower.cancel()
		p.follower = nil
	}
}

// setWakeTimer replaces the wake-up timer of a state machine.
func (p *pool) setWakeTimer(machine machineKind, at time.Time) {
	if p.wakeTimers[machine] != nil {
		p.wakeTimers[machine].Stop()
	}
	timer := &wakeTimer{pool: p, machine: machine}
	p.wakeTimers[machine] = time.AfterFunc(max(0, at.Sub(p.cell.Clock.Now())), timer.fire)
}

// wakeTimer sends a Wake event to one state machine of a pool.
type wakeTimer struct {
	pool    *pool
	machine machineKind
}

func (t *wakeTimer) fire() { t.pool.send(t.machine, endive.Wake{}) }
