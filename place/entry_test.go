package place

import (
	"time"

	"endiveroute.example/endive"
)

// step passes an event to the machine and performs the resulting actions. While
// the entry is paused, the event is delayed.
func (e *entry) step(event endive.Event) {
	c := e.c
	if e.dead {
		return
	}
	if c.now.Before(e.resumeAt) {
		e.delayedEvents = append(e.delayedEvents, event)
		return
	}
	start := time.Now()
	actions := e.machine.Step(c.now, event)
	if e.samples != nil {
		e.samples.observe(e, time.Since(start), actions)
	}
	for _, action := range actions {
		e.perform(action)
	}
	if c.afterStep != nil {
		c.afterStep(e)
	}
}

func (e *entry) noStore() bool { return e.c.storeDown || e.storeCutOff }

// pause stops the entry from processing events for a time.
func (e *entry) pause(d time.Duration) {
	e.resumeAt = e.c.now.Add(d)
	e.c.schedule(d, func() {
		waiting := e.delayedEvents
		e.delayedEvents = nil
		for _, event := range waiting {
			e.step(event)
		}
	})
}

func (e *entry) perform(action endive.Action) {
	c := e.c
	switch a := action.(type) {
	case endive.SetWake:
		c.schedule(a.At.Sub(c.now), func() { e.step(endive.Wake{}) })
	case endive.Scan:
		c.schedule(c.delay(), func() {
			got := endive.Scanned{Prefix: a.Prefix, After: a.After, Unavailable: e.noStore()}
			if !e.noStore() {
				got.Changes = c.table.scan(a.Prefix, a.After)
			}
			c.schedule(c.delay(), func() { e.step(got) })
		})
	case endive.Fetch:
		c.schedule(c.delay(), func() {
			got := endive.Fetched{Keys: a.Keys, Unavailable: e.noStore()}
			if row, ok := c.table.rows[a.Keys[0]]; ok && !e.noStore() {
				got.Rows = []endive.Row{row}
			}
			c.schedule(c.delay(), func() { e.step(got) })
		})
	case endive.Commit:
		extraDelay := time.Duration(0)
		if c.rareFault() {
			extraDelay = 2 * sliceLease
		}
		c.schedule(c.delay()+extraDelay, func() { e.commit(a.Transaction) })
	case Command:
		e.send(a)
	case Released:
		e.released = true
	case endive.Decision:
		c.decisions = append(c.decisions, a)
	default:
		if c.onAnswer != nil {
			c.onAnswer(action)
		}
	}
}

func (e *entry) commit(txn endive.Transaction) {
	c := e.c
	if e.noStore() {
		e.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnavailable})
		return
	}
	status := c.table.commit(txn)
	if status == endive.CommitApplied && c.holder != e && c.onStaleWrite != nil {
		c.onStaleWrite()
	}
	if c.fault() {
		e.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown})
		c.schedule(c.delay()*10, func() { e.step(endive.Committed{WriteID: txn.WriteID, Status: status}) })
		return
	}
	c.schedule(c.delay(), func() { e.step(endive.Committed{WriteID: txn.WriteID, Status: status}) })
}

// send delivers a command to its worker. Faults lose the command or its answer,
// duplicate the command or delay it.
func (e *entry) send(a Command) {
	c := e.c
	w := c.byID[a.Worker]
	answer := CommandResult{Worker: a.Worker, Epoch: a.Command.Epoch, Sequence: a.Command.Sequence}
	if c.rareFault() {
		answer.Unavailable = true
		c.schedule(c.delay(), func() { e.step(answer) })
		return
	}
	copies, restarts := 1, w.restarts
	if c.fault() {
		copies = c.random.Intn(3)
	}
	for range copies {
		c.schedule(c.delay(), func() {
			if w.cutOff || w.onlyReachableBy != nil && w.onlyReachableBy != e || w.restarts != restarts {
				return
			}
			got := answer
			got.Report = w.receive(c.now, a.Command)
			if c.fault() {
				if c.random.Intn(2) == 0 {
					c.schedule(c.delay(), func() {
						e.step(CommandResult{Worker: a.Worker, Epoch: answer.Epoch, Sequence: answer.Sequence, Unknown: true})
					})
				}
				return
			}
			c.schedule(c.delay(), func() { e.step(got) })
		})
	}
}
