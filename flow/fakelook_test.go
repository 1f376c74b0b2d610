package flow

import (
	"time"

	"endiveroute.example/endive"
)

// look answers a hold, after an end or the wait.
func (w *world) look(h *holder, order endive.HoldOrder) {
	id := order.Worker.ID
	one := w.workers[id]
	patience := time.Duration(order.Wait) + 700*time.Millisecond
	if one != nil && one.reused {
		w.after(one.way(), func() {
			h.step(PollResult{Worker: id, Result: OrderAnswered, Answer: endive.OrderAnswer{Refused: endive.RefusalIncarnation}})
		})
		return
	}
	if one != nil && one.gone {
		w.after(3*time.Millisecond, func() { h.step(PollResult{Worker: id, Result: OrderRefused}) })
		return
	}
	if one != nil && one.vanished {
		w.after(patience, func() { h.step(PollResult{Worker: id, Result: OrderNotSent}) })
		return
	}
	if one == nil || one.dark || one.deaf(h) || w.chance(w.faults.lostOrder) {
		w.after(patience, func() { h.step(PollResult{Worker: id, Result: OrderUnknown}) })
		return
	}
	w.after(one.way(), func() {
		if one.fenced(order.Epoch) {
			h.step(PollResult{Worker: id, Result: OrderAnswered, Answer: endive.OrderAnswer{Refused: endive.RefusalEpoch}})
			return
		}
		one.forget(order.Recorded)
		if order.LeaseEnd > one.clock() {
			one.extend(order.LeaseEnd)
		}
		life, told := one.life, false
		tell := func() {
			if told {
				return
			}
			told = true
			if one.dark || one.life != life || w.chance(w.faults.lostAnswer) {
				w.after(700*time.Millisecond, func() { h.step(PollResult{Worker: id, Result: OrderUnknown}) })
				return
			}
			report := one.report()
			w.after(one.way(), func() { h.step(PollResult{Worker: id, Result: OrderAnswered, Report: report}) })
		}
		if order.Wait == 0 || len(one.ends) > 0 {
			tell()
			return
		}
		one.waiting = append(one.waiting, tell)
		w.after(time.Duration(order.Wait), tell)
	})
}
