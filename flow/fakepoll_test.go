package flow

import (
	"time"

	"endiveroute.example/endive"
)

// answerPoll answers a hold, after an end or the wait.
func (w *simulation) answerPoll(h *holder, order endive.HoldOrder) {
	id := order.Worker.ID
	one := w.workers[id]
	timeout := time.Duration(order.Wait) + 700*time.Millisecond
	if one != nil && one.reused {
		w.after(one.latency(), func() {
			h.step(PollResult{Worker: id, Result: OrderAnswered, Answer: endive.OrderAnswer{Refused: endive.RefusalIncarnation}})
		})
		return
	}
	if one != nil && one.terminated {
		w.after(3*time.Millisecond, func() { h.step(PollResult{Worker: id, Result: OrderRefused}) })
		return
	}
	if one != nil && one.poweredOff {
		w.after(timeout, func() { h.step(PollResult{Worker: id, Result: OrderNotSent}) })
		return
	}
	if one == nil || one.unreachable || one.unreachableBy(h) || w.chance(w.faults.lostOrder) {
		w.after(timeout, func() { h.step(PollResult{Worker: id, Result: OrderUnknown}) })
		return
	}
	w.after(one.latency(), func() {
		if one.rejectsEpoch(order.Epoch) {
			h.step(PollResult{Worker: id, Result: OrderAnswered, Answer: endive.OrderAnswer{Refused: endive.RefusalEpoch}})
			return
		}
		one.forget(order.Recorded)
		if order.LeaseEnd > one.clock() {
			one.extendLeases(order.LeaseEnd)
		}
		life, answered := one.incarnation, false
		answer := func() {
			if answered {
				return
			}
			answered = true
			if one.unreachable || one.incarnation != life || w.chance(w.faults.lostAnswer) {
				w.after(700*time.Millisecond, func() { h.step(PollResult{Worker: id, Result: OrderUnknown}) })
				return
			}
			report := one.report()
			w.after(one.latency(), func() { h.step(PollResult{Worker: id, Result: OrderAnswered, Report: report}) })
		}
		if order.Wait == 0 || len(one.ends) > 0 {
			answer()
			return
		}
		one.pendingPolls = append(one.pendingPolls, answer)
		w.after(time.Duration(order.Wait), answer)
	})
}
