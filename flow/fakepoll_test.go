package flow

import (
	"time"

	"endiveroute.example/endive"
)

// answerPoll answers a poll at once if the worker has ended runs to report, else when the next
// run ends or the requested wait is over.
func (w *simulation) answerPoll(h *holder, poll PollWorker) {
	order := poll.Order
	id := order.Worker.ID
	worker := w.workers[id]
	timeout := time.Duration(order.Wait) + 700*time.Millisecond
	if worker != nil && worker.addressReused {
		w.after(worker.latency(), func() {
			h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderAnswered, Answer: endive.OrderAnswer{Refused: endive.RefusalIncarnation}})
		})
		return
	}
	if worker != nil && worker.terminated {
		w.after(3*time.Millisecond, func() { h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderRefused}) })
		return
	}
	if worker != nil && worker.poweredOff {
		// The answer is overdue before it is known that the poll couldn't be sent.
		w.after(timeout, func() { h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderUnknown, Overdue: true}) })
		w.after(timeout+time.Millisecond, func() { h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderNotSent}) })
		return
	}
	if worker == nil || worker.unreachable || worker.unreachableBy(h) || w.chance(w.faults.lostOrder) {
		worker.recordLostCall()
		w.after(timeout, func() { h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderUnknown}) })
		return
	}
	take := h.call(worker, func(f *fakeWorker) endive.OrderAnswer { return f.takePoll(order) })
	if w.chance(w.faults.latePoll) {
		w.after(timeout, func() { h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderUnknown}) })
		w.carryOutLate(worker, func() { take() })
		return
	}
	w.after(worker.latency(), func() {
		if taken := take(); taken.Refused != endive.RefusalNone {
			h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderAnswered, Answer: taken})
			return
		}
		incarnation, answered := worker.incarnation, false
		answer := func() {
			if answered {
				return
			}
			answered = true
			if worker.unreachable || worker.answersLost || worker.incarnation != incarnation || w.chance(w.faults.lostAnswer) {
				w.after(700*time.Millisecond, func() { h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderUnknown}) })
				return
			}
			report := worker.report()
			if worker.answerDelay > 0 {
				w.after(700*time.Millisecond, func() { h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderUnknown, Overdue: true}) })
			}
			w.after(worker.latency()+worker.answerDelay, func() {
				worker.markSeen(h, report.StartTime)
				h.step(PollResult{Worker: id, Poll: poll.Poll, Result: OrderAnswered, Report: report})
			})
		}
		if order.Wait == 0 || len(worker.ends) > 0 {
			answer()
			return
		}
		worker.pendingPolls = append(worker.pendingPolls, answer)
		w.after(time.Duration(order.Wait), answer)
	})
}

// takePoll carries out a poll, unless its epoch is too low.
func (f *fakeWorker) takePoll(order endive.PollOrder) endive.OrderAnswer {
	if f.rejectsEpoch(order.Epoch) {
		return endive.OrderAnswer{Refused: endive.RefusalEpoch}
	}
	f.deleteRecordedEnds(order.Recorded)
	if order.LeaseEnd > f.clock() {
		f.extendLeases(order.LeaseEnd)
	}
	return endive.OrderAnswer{}
}
