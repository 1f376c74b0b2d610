package flow

import (
	"sort"
	"strings"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/quota"
)

// kill ends a holder's process.
func (h *holder) kill() { h.dead = true }

// send delivers an event to the machine after a millisecond.
func (h *holder) send(event endive.Event) { h.sim.after(time.Millisecond, func() { h.step(event) }) }

func (h *holder) step(event endive.Event) {
	if h.dead {
		return
	}
	if h.frozen {
		h.deferred = append(h.deferred, event)
		return
	}
	begin := time.Now()
	actions := h.machine.Step(h.sim.now.Add(h.clockOffset), event)
	h.stepTime += time.Since(begin)
	for _, action := range actions {
		h.perform(action)
	}
}

// freeze suspends the process for the given duration, during which its lease expires.
func (h *holder) freeze(d time.Duration) {
	h.frozen = true
	h.machine.tenure.leaseEnd = h.sim.now
	h.sim.after(d, func() {
		h.frozen = false
		for _, event := range h.deferred {
			h.step(event)
		}
		h.deferred = nil
	})
}

func (h *holder) perform(action endive.Action) {
	w := h.sim
	switch a := action.(type) {
	case Decision:
		h.record(a)
		if w.trace != "" && (strings.HasPrefix(string(a.Task), w.trace) || a.Kind == DecisionTenure || a.Kind == DecisionWorker) {
			w.t.Logf("%.3f epoch %d %s %s %d on %s: %s (%s)", w.now.Sub(w.start).Seconds(), h.epoch, a.Kind, a.Task, a.Run, a.Worker, a.Outcome, a.Reason)
		}
	case endive.SetWake:
		at := a.At
		h.wakeAt = at
		w.after(max(0, at.Sub(w.now.Add(h.clockOffset))), func() {
			if h.wakeAt.Equal(at) {
				h.step(endive.Wake{})
			}
		})
	case HandOver:
		w.handedOver = &a.Snapshot
	case LoadSnapshot:
		rows := h.readRows(a.Epoch)
		w.after(w.loadTime(a.Epoch), func() { h.load(a.Epoch, rows) })
		w.after(max(w.quotaReadTime, 8*time.Millisecond), func() { h.step(w.quotaRows()) })
	case Commit:
		h.commit(a.Transaction)
	case RequestAdvice:
		w.after(w.adviceDuration(a.Cost), func() { h.answerAdvice(a) })
	case StartRun:
		w.sendOrder(h, a.Order.Worker.ID, func(worker *fakeWorker) endive.OrderAnswer { return worker.start(a.Order) },
			func(r OrderResult, answer endive.OrderAnswer) endive.Event {
				return StartResult{Worker: a.Order.Worker.ID, Task: a.Order.Task, Run: a.Order.Run, Result: r, Answer: answer}
			})
	case StopRun:
		w.sendOrder(h, a.Order.Worker.ID, func(worker *fakeWorker) endive.OrderAnswer { return worker.stop(a.Order) },
			func(r OrderResult, answer endive.OrderAnswer) endive.Event {
				return StopResult{Worker: a.Order.Worker.ID, Task: a.Order.Task, Run: a.Order.Run, Result: r, Answer: answer}
			})
	case PollWorker:
		w.answerPoll(h, a)
	}
}

// sendOrder carries out an order at a worker, subject to the simulation's faults.
func (w *simulation) sendOrder(h *holder, id endive.WorkerID, execute func(*fakeWorker) endive.OrderAnswer, answer func(OrderResult, endive.OrderAnswer) endive.Event) {
	const timeout = 400 * time.Millisecond
	worker := w.workers[id]
	latency := worker.latency()
	if worker != nil {
		worker.orders++
	}
	call := h.call(worker, execute)
	switch {
	case worker != nil && worker.unsentFrom > 0 && worker.orders >= worker.unsentFrom:
		w.after(timeout, func() { h.step(answer(OrderNotSent, endive.OrderAnswer{})) })
	case worker != nil && worker.addressReused:
		w.after(latency, func() { h.step(answer(OrderAnswered, endive.OrderAnswer{Refused: endive.RefusalIncarnation})) })
	case worker != nil && worker.terminated:
		w.after(latency, func() { h.step(answer(OrderRefused, endive.OrderAnswer{})) })
	case worker == nil || worker.unreachable || worker.unreachableBy(h) || w.chance(w.faults.lostOrder):
		worker.recordLostCall()
		w.after(timeout, func() { h.step(answer(OrderUnknown, endive.OrderAnswer{})) })
	case w.chance(w.faults.lateOrder):
		w.after(timeout, func() { h.step(answer(OrderUnknown, endive.OrderAnswer{})) })
		w.carryOutLate(worker, func() { call() })
	case worker.ordersUnanswered || w.chance(w.faults.lostAnswer):
		w.after(latency, func() {
			if !worker.terminated {
				call()
			}
		})
		w.after(timeout, func() { h.step(answer(OrderUnknown, endive.OrderAnswer{})) })
	case 2*latency > timeout:
		w.after(timeout, func() { h.step(answer(OrderUnknown, endive.OrderAnswer{})) })
		w.after(latency, func() {
			if !worker.terminated {
				call()
			}
		})
	default:
		w.after(latency, func() {
			if worker.terminated {
				h.step(answer(OrderUnknown, endive.OrderAnswer{}))
				return
			}
			orderAnswer := call()
			w.after(latency, func() { h.step(answer(OrderAnswered, orderAnswer)) })
		})
	}
}

// load loads the rows for a new tenure, those read when it began or the current ones, or uses the snapshot that was
// handed over.
func (h *holder) load(epoch endive.Epoch, first PoolSnapshot) {
	if handedOver := h.sim.handedOver; handedOver != nil && handedOver.Epoch.NextTenure() == epoch {
		h.loadHandedOver(*handedOver)
		return
	}
	if !h.sim.scansFirst {
		first = h.readRows(epoch)
	}
	h.step(first)
	h.deliverMissed(first.Revision)
}

// deliverMissed delivers the rows that were written after a revision and that the feed has delivered already.
func (h *holder) deliverMissed(after endive.Revision) {
	missed := WorkChanged{Epoch: h.epoch}
	for key, row := range h.sim.rows {
		if at, ok := h.sim.putAt[key]; ok && row.Version > endive.Version(after) && !at.Add(h.feedDelay).After(h.sim.now) {
			missed.Rows = append(missed.Rows, row)
		}
	}
	if len(missed.Rows) == 0 {
		return
	}
	sort.Slice(missed.Rows, func(i, j int) bool { return missed.Rows[i].Key < missed.Rows[j].Key })
	h.step(missed)
}

// readRows returns the rows of the pool.
func (h *holder) readRows(epoch endive.Epoch) PoolSnapshot {
	loaded := PoolSnapshot{Epoch: epoch, Revision: endive.Revision(h.sim.version)}
	keys := make([]string, 0, len(h.sim.rows))
	for key := range h.sim.rows {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		row := h.sim.rows[key]
		switch {
		case strings.HasPrefix(key, WorkPrefix(testPool)):
			loaded.WorkRows = append(loaded.WorkRows, row)
		case strings.HasPrefix(key, StatePrefix(testPool)):
			loaded.StateRows = append(loaded.StateRows, row)
		case strings.HasPrefix(key, RosterPrefix(testPool)):
			var roster Roster
			if err := decodeRow(row.Value, &roster); err != nil {
				h.sim.t.Fatal(err)
			}
			loaded.Roster = append(loaded.Roster, roster.Workers...)
		}
	}
	return loaded
}

// quotaRows returns the event with the pools' parts of the caps.
func (w *simulation) quotaRows() QuotaRowsRead {
	event := QuotaRowsRead{Complete: true}
	for key, row := range w.rows {
		if strings.HasPrefix(key, quota.Prefix) {
			event.Rows = append(event.Rows, row)
		}
	}
	return event
}

// loadTime returns how long a new holder takes to load the rows.
func (w *simulation) loadTime(epoch endive.Epoch) time.Duration {
	if w.handedOver != nil && w.handedOver.Epoch.NextTenure() == epoch {
		return time.Millisecond
	}
	return max(w.loadDuration, 10*time.Millisecond)
}

// loadHandedOver applies the previous holder's snapshot and the rows stored since.
func (h *holder) loadHandedOver(snapshot PoolSnapshot) {
	snapshot.Epoch = h.epoch
	h.step(snapshot)
	changed := WorkChanged{Epoch: h.epoch, Revision: endive.Revision(h.sim.version)}
	for key, row := range h.sim.rows {
		if strings.HasPrefix(key, WorkPrefix(testPool)) && row.Version > endive.Version(snapshot.Revision) {
			changed.Rows = append(changed.Rows, row)
		}
	}
	sort.Slice(changed.Rows, func(i, j int) bool { return changed.Rows[i].Key < changed.Rows[j].Key })
	h.step(changed)
}

// handOver releases the pool and starts the next holder, which receives this one's snapshot.
func (h *holder) handOver() *holder {
	h.step(TenureEnded{HandOver: true})
	return h.sim.startHolder()
}

// commit executes a transaction, subject to the simulation's faults.
func (h *holder) commit(txn endive.Transaction) {
	const oneWay, timeout = 4 * time.Millisecond, 300 * time.Millisecond
	w := h.sim
	switch {
	case h.storeAway || w.chance(w.faults.lostWrite):
		w.after(timeout, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	case w.chance(w.faults.lateWrite):
		w.after(time.Second+time.Duration(w.random.Int63n(int64(3*time.Second))), func() { w.apply(txn) })
		w.after(timeout, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	case w.chance(w.faults.lostWriteAnswer):
		w.after(oneWay, func() { w.apply(txn) })
		w.after(timeout, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	default:
		w.after(oneWay, func() {
			event := w.apply(txn)
			w.after(oneWay, func() { h.step(event) })
		})
	}
}

// storeRowBytes is the limit of the store for the size of a row.
const storeRowBytes = 64 << 10

// apply commits a transaction if its conditions hold and the store takes its rows.
func (w *simulation) apply(txn endive.Transaction) endive.Committed {
	event := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict}
	for _, condition := range txn.Conditions {
		if row := w.rows[condition.Key]; row.Version != condition.Version {
			event.Conflicts = append(event.Conflicts, row)
		}
	}
	if len(event.Conflicts) > 0 {
		return event
	}
	for _, write := range txn.Writes {
		if len(write.Value) > storeRowBytes || w.rejects != nil && w.rejects(write.Key, write.Value) {
			w.refusedRows[write.Key]++
			event.Status = endive.CommitRejected
			return event
		}
	}
	w.version++
	w.commits++
	event.Status = endive.CommitApplied
	for _, write := range txn.Writes {
		event.Result.Versions = append(event.Result.Versions, w.version)
		if write.Delete {
			delete(w.rows, write.Key)
			continue
		}
		w.rows[write.Key] = endive.Row{Key: write.Key, Version: w.version, Value: write.Value}
		if strings.HasPrefix(write.Key, quota.Prefix) {
			w.publishQuotaRows()
		}
	}
	return event
}

// publishQuotaRows sends the pools' parts of the caps to the holders.
func (w *simulation) publishQuotaRows() {
	for _, h := range w.holders {
		h.send(w.quotaRows())
	}
}

// answerAdvice answers an advice request, unless the answer is lost.
func (h *holder) answerAdvice(a RequestAdvice) {
	if h.sim.chance(h.sim.faults.lostAdvice) {
		return
	}
	event := AdviceResult{Step: a.Step, Workers: a.Workers, Cost: a.Cost, OK: true, Expiry: h.sim.now.Add(2 * time.Second)}
	for _, id := range a.Workers {
		if h.sim.isEligible(a.Step, id) {
			event.Grants = append(event.Grants, endive.AdviceGrant{Worker: id, Ticket: "ticket"})
		}
	}
	h.step(event)
}
