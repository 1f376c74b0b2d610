package weigh

import (
	"net/http"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/route"
)

// dispatch runs one attempt on its executor.
func (c *cell) dispatch(n *entry, call endive.Call) {
	h := c.byID[call.Executor]
	c.calls++
	if r := c.requests[call.Request]; r.dispatched.IsZero() {
		r.dispatched = c.now
	}
	oneWay := delay(n.location, h.location)
	if n.location.Region != h.location.Region {
		c.crossRegionBodyBytes += requestBytes + answerBytes
	}
	replied := false
	reply := func(r endive.Reply) {
		if !replied {
			replied = true
			delete(c.cancels, call.Attempt)
			c.step(n, route.AttemptResult{Attempt: call.Attempt, Reply: r})
		}
	}
	finished := false
	arrived := time.Time{}
	finish := func() {
		if !finished && !arrived.IsZero() {
			finished = true
			h.busy--
			c.busyTime += c.now.Sub(arrived)
		}
	}
	// The executor doesn't notice the cancellation and keeps running the request.
	c.cancels[call.Attempt] = func() {
		c.schedule(c.now, func() { reply(endive.Reply{Outcome: endive.Unknown, Reason: "cancelled"}) })
	}
	c.schedule(call.Deadline, func() { finish(); reply(endive.Reply{Outcome: endive.Unknown, Reason: "timeout"}) })
	c.schedule(c.now.Add(oneWay), func() {
		arrived = c.now
		h.busy++
		h.mostBusy = max(h.mostBusy, h.busy)
		if h.busy > slotsEach {
			finish()
			c.schedule(c.now.Add(oneWay), func() { reply(endive.Reply{Outcome: endive.NotRun, Refused: true}) })
			return
		}
		took, result := c.serve(h)
		if took > 0 {
			c.schedule(c.now.Add(took), func() {
				if finished {
					return
				}
				finish()
				c.schedule(c.now.Add(oneWay), func() { reply(result) })
			})
		}
	})
}

// serve returns the service time of a request at an executor and the executor's
// reply. The time is 0 for a silent executor, which never replies.
func (c *cell) serve(h *host) (time.Duration, endive.Reply) {
	took := time.Duration(c.random.ExpFloat64() * float64(meanService))
	ok := endive.Reply{Outcome: endive.Answered, Status: 200, Body: make([]byte, answerBytes)}
	switch h.fault {
	case slow:
		return took * slowdown, ok
	case failing:
		return 2 * time.Millisecond, endive.Reply{Outcome: endive.Unknown, Reason: "connection reset"}
	case refusing:
		return 2 * time.Millisecond, endive.Reply{Outcome: endive.NotRun, Reason: "connection refused"}
	case answering500:
		return 2 * time.Millisecond, endive.Reply{Outcome: endive.Answered, Status: http.StatusInternalServerError}
	case silent:
		return 0, endive.Reply{}
	}
	return took + 1, ok
}
