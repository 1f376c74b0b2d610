package cell

import (
	"context"
	"errors"
	"syscall"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// orderResult returns the result of an order to a worker by its error.
func orderResult(err error) flow.OrderResult {
	switch {
	case err == nil:
		return flow.OrderAnswered
	case !endive.ErrUnavailable.Has(err):
		return flow.OrderUnknown
	case errors.Is(err, syscall.ECONNREFUSED):
		return flow.OrderRefused
	default:
		return flow.OrderNotSent
	}
}

// startCall sends an order to start a run.
type startCall struct {
	pool  *pool
	order endive.StartOrder
	// sendDeadline is the latest time at which the order may be sent.
	sendDeadline time.Time
}

func (c *startCall) run() { c.pool.sendToFlow(c.send()) }

// send sends the order, but not after sendDeadline, for example if the process was suspended
// after the decision.
func (c *startCall) send() flow.StartResult {
	started := flow.StartResult{Worker: c.order.Worker.ID, Task: c.order.Task, Run: c.order.Run, Result: flow.OrderNotSent}
	if c.pool.cell.Clock.Now().After(c.sendDeadline) {
		return started
	}
	answer, err := c.pool.cell.Fleet.Start(c.pool.cell.ctx, c.order)
	started.Result, started.Answer = orderResult(err), answer
	return started
}

// stopCall sends an order to stop a run.
type stopCall struct {
	pool  *pool
	order endive.StopOrder
}

func (c *stopCall) run() {
	answer, err := c.pool.cell.Fleet.Stop(c.pool.cell.ctx, c.order)
	c.pool.sendToFlow(flow.StopResult{Worker: c.order.Worker.ID, Task: c.order.Task, Run: c.order.Run, Result: orderResult(err), Answer: answer})
}

// pollOverdueDelay is how long after the end of its wait a poll may be unanswered before the worker
// counts as silent. It is longer than cellDialTimeout, so that a poll that couldn't be sent is
// reported as such.
const pollOverdueDelay = 750 * time.Millisecond

// pollCall sends a poll to a worker. If the answer is overdue, it reports that, and reports the answer
// when it arrives.
type pollCall struct {
	pool  *pool
	order endive.PollOrder
	poll  flow.PollID
}

func (c *pollCall) run() {
	overdue := time.AfterFunc(time.Duration(c.order.Wait)+pollOverdueDelay, c.reportOverdue)
	report, answer, err := c.pool.cell.Fleet.Poll(c.pool.cell.ctx, c.order)
	overdue.Stop()
	result := c.result(orderResult(err))
	result.Report, result.Answer = report, answer
	if err != nil {
		result.Failure = err.Error()
	}
	c.pool.sendToFlow(result)
}

func (c *pollCall) reportOverdue() {
	result := c.result(flow.OrderUnknown)
	result.Overdue, result.Failure = true, "the answer is overdue"
	c.pool.sendToFlow(result)
}

func (c *pollCall) result(result flow.OrderResult) flow.PollResult {
	return flow.PollResult{Worker: c.order.Worker.ID, Poll: c.poll, Result: result}
}

// commitCall commits a transaction for one of the pool's machines.
type commitCall struct {
	pool        *pool
	machine     machineKind
	transaction endive.Transaction
}

func (c *commitCall) run() {
	cell := c.pool.cell
	ctx, cancel := context.WithTimeout(cell.ctx, time.Duration(cell.Settings.Timings.StoreTimeout))
	defer cancel()
	result, err := cell.Store.Commit(ctx, c.transaction)
	c.pool.send(c.machine, commitEvent(c.transaction.WriteID, result, err))
}

// commitEvent returns the event for the result of a transaction.
func commitEvent(id endive.WriteID, result endive.CommitResult, err error) endive.Committed {
	event := endive.Committed{WriteID: id, Status: endive.CommitApplied, Result: result}
	switch {
	case err == nil:
	case endive.ErrConflict.Has(err):
		event.Status = endive.CommitConflict
		event.Conflicts = conflictingRows(err)
	case endive.ErrRejected.Has(err):
		event.Status = endive.CommitRejected
	case endive.ErrUnavailable.Has(err):
		event.Status = endive.CommitUnavailable
	default:
		event.Status = endive.CommitUnknown
	}
	return event
}

// conflictingRows returns the rows that a transaction conflicted with.
func conflictingRows(err error) []endive.Row {
	var conflict *endive.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Rows
	}
	return nil
}
