package elect

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// process is one process of an entry.
type process struct {
	sim         *simulation
	entry       *entry
	incarnation endive.Incarnation
	machine     *Machine
	wakeAt      time.Time
	// cutUntil is until when it doesn't reach the store, and frozenUntil until when it stands still.
	cutUntil, frozenUntil time.Time
	stopping, dead        bool
	tenure                TenureBegan
	leaseEnd              time.Time
}

// acts reports whether the process may start tasks now.
func (p *process) acts() bool {
	now := p.sim.now
	return !now.Before(p.frozenUntil) && p.machine.Holding() && now.Before(p.leaseEnd)
}

// step passes an event to the machine, after the end of a freeze.
func (p *process) step(event endive.Event) {
	w := p.sim
	switch {
	case p.dead:
	case w.now.Before(p.frozenUntil):
		w.after(p.frozenUntil.Sub(w.now), func() { p.step(event) })
	default:
		for _, action := range p.machine.Step(w.now, event) {
			p.perform(action)
		}
	}
}

func (p *process) perform(action endive.Action) {
	w := p.sim
	switch a := action.(type) {
	case endive.SetWake:
		p.wakeAt = a.At
		w.after(max(0, a.At.Sub(w.now)), func() {
			if p.wakeAt.Equal(a.At) {
				p.step(endive.Wake{})
			}
		})
	case Commit:
		p.commit(a.Transaction)
	case ReadLease:
		p.readLease(true)
	case TenureBegan:
		p.begin(a)
	case TenureRenewed:
		p.leaseEnd = a.LeaseEnd
	case TenureEnded:
		p.end(a)
	}
}

// begin begins a tenure, and announces it to the other entries.
func (p *process) begin(a TenureBegan) {
	w := p.sim
	if w.begun[a.Epoch] {
		w.violate("%s begins epoch %d, which has begun before", p.entry.id, a.Epoch)
	}
	if !w.now.Before(a.LeaseEnd) {
		w.violate("%s begins epoch %d after its lease has ended", p.entry.id, a.Epoch)
	}
	w.begun[a.Epoch] = true
	p.tenure, p.leaseEnd = a, a.LeaseEnd
	for _, e := range w.entries {
		if e != p.entry {
			w.deliver(e, Superseded{Epoch: a.Epoch})
		}
	}
}

// end ends a tenure, and offers a released pool to another entry.
func (p *process) end(a TenureEnded) {
	w := p.sim
	if successor := w.entries[w.random.IntN(len(w.entries))]; a.Released && successor != p.entry {
		w.deliver(successor, Offered{Lease: a.Lease})
	}
}

// commit sends a transaction to the store, which may lose it or perform it late.
func (p *process) commit(txn endive.Transaction) {
	w := p.sim
	unknown := func() { p.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) }
	switch {
	case w.chance(w.faults.lateWrite):
		w.after(w.upTo(longestDelay), func() { w.apply(txn) })
		w.after(storeTimeout, unknown)
	case w.now.Before(p.cutUntil) || w.chance(w.faults.lostWrite):
		w.after(storeTimeout, unknown)
	case w.chance(w.faults.lostWriteAnswer):
		w.after(storeLatency, func() { w.apply(txn) })
		w.after(storeTimeout, unknown)
	case w.chance(w.faults.refusedWrite):
		w.after(storeLatency, func() { p.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnavailable}) })
	default:
		w.after(storeLatency, func() {
			result := w.apply(txn)
			if w.now.Before(p.cutUntil) {
				w.after(storeTimeout, unknown)
				return
			}
			w.after(w.answerLatency(), func() { p.step(result) })
		})
	}
}

// readLease reads the lease's row; with retries if they are wanted.
func (p *process) readLease(retry bool) {
	w := p.sim
	switch {
	case p.dead:
	case !w.now.Before(p.cutUntil):
		w.after(storeLatency, func() {
			row := LeaseRow{Version: w.version, Value: slices.Clone(w.value)}
			w.after(w.answerLatency(), func() { p.step(row) })
			if w.chance(w.faults.lateRow) {
				w.after(w.upTo(longestDelay), func() { p.step(row) })
			}
		})
	case retry:
		w.after(150*time.Millisecond, func() { p.readLease(true) })
	}
}

// tick reads the lease and draws what befalls the process.
func (p *process) tick() {
	w, f := p.sim, p.sim.faults
	if p.dead {
		return
	}
	p.readLease(false)
	switch {
	case w.chance(f.cut):
		p.cutUntil = w.now.Add(w.upTo(longestDelay))
	case w.chance(f.freeze):
		p.frozenUntil = w.now.Add(w.upTo(longestDelay))
	case w.chance(f.kill):
		p.kill()
	case w.chance(f.stop):
		p.stop()
	case w.chance(f.suspect) && p.machine.Holding():
		p.suspect()
	}
	w.after(tick, p.tick)
}

// stop stops the process as planned; the next one starts after it.
func (p *process) stop() {
	if p.stopping {
		return
	}
	p.stopping = true
	p.step(Release{})
	p.sim.after(stopTime, p.kill)
}

// kill ends the process. Other entries find that its port refuses connections, and the next process starts.
func (p *process) kill() {
	w := p.sim
	if p.dead {
		return
	}
	p.dead = true
	p.entry.process = nil
	p.suspect()
	w.after(w.upTo(2*time.Second), func() { w.startProcess(p.entry) })
}

// suspect tells the other entries that the process has probably ended, as it also does by offering the pool.
func (p *process) suspect() {
	for _, e := range p.sim.entries {
		if e != p.entry {
			p.sim.deliver(e, HolderSuspected{Holder: p.entry.id, Incarnation: p.incarnation})
		}
	}
}
