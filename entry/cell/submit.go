package cell

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

const (
	// storeRetryDelay is the pause before a write is tried again whose answer was lost.
	storeRetryDelay = 30 * time.Millisecond
	// maxSubmitTries is how often a submission is written before its caller is told
	// that its fate isn't known.
	maxSubmitTries = 3
	// submitTimeout is how long a submission is tried to be written. Callers wait for
	// about twice as long in all.
	submitTimeout = 1400 * time.Millisecond
)

// Submit implements endive.Cell.
func (c *Cell) Submit(ctx context.Context, match endive.QueueMatch, workflow endive.Workflow) endive.SubmitResult {
	start := c.Clock.Now()
	result := c.unconfirmed.resolve(c.Clock.Now(), workflow.ID, c.submit(ctx, match, workflow))
	c.Counters.recordSubmission(result.Status, c.Clock.Now().Sub(start))
	c.Log.Info("decision", "kind", "submit", "job", string(workflow.ID), "queue", string(match.Queue.Name),
		"configVersion", int64(match.ConfigVersion), "steps", len(workflow.Steps), "outcome", string(result.Status),
		"reason", result.Reason, "millis", c.Clock.Now().Sub(start).Milliseconds())
	return result
}

func (c *Cell) submit(ctx context.Context, match endive.QueueMatch, workflow endive.Workflow) endive.SubmitResult {
	if !c.Platform.Known() {
		return endive.SubmitResult{Status: endive.SubmitUnavailable, RetryAfter: callerRetryAfter, Reason: "the store is away"}
	}
	job, err := json.Marshal(endive.Submission{
		Workflow: workflow, Policy: match.Queue, ConfigVersion: match.ConfigVersion,
		Accepted: c.Platform.AtLeast(c.Clock.Now()), Advised: c.Store.usable() && c.prefetchAdvice(match.Queue, workflow),
	})
	if err != nil {
		return endive.SubmitResult{Status: endive.SubmitUnavailable, Reason: "it can't be encoded: " + err.Error()}
	}
	if !c.Store.usable() {
		return c.relaySubmission(ctx, match.Queue, workflow.ID, job)
	}
	return c.storeSubmission(ctx, match.Queue.Pool, workflow.ID, job)
}

// storeSubmission writes a submission, and tells the pool's holder of it.
func (c *Cell) storeSubmission(ctx context.Context, pool endive.PoolName, id endive.JobID, job []byte) endive.SubmitResult {
	if !c.Store.usableFor(flow.AcceptedKey(pool, id)) {
		return endive.SubmitResult{Status: endive.SubmitUnavailable, RetryAfter: callerRetryAfter, Reason: "its part of the store doesn't answer"}
	}
	result := c.commitSubmission(ctx, flow.SubmitTransaction(pool, id, job))
	if result.Status == endive.SubmitAccepted && !result.AlreadyStored {
		// One that was stored before may have ended since, unknown to this holder.
		c.notifyStored(pool, id, job)
	}
	return result
}

// relaySubmission has another entry store a submission.
func (c *Cell) relaySubmission(ctx context.Context, queue endive.Queue, id endive.JobID, job []byte) endive.SubmitResult {
	ask := newRelayAsk(wire.RelayKind_RELAY_SUBMIT, queue, id)
	ask.Submission = job
	answer := c.relayClient.forward(ctx, ask)
	switch answer.GetStatus() {
	case wire.RelayStatus_RELAY_DONE:
		return endive.SubmitResult{Status: endive.SubmitAccepted, Reason: answer.GetReason()}
	case wire.RelayStatus_RELAY_UNAVAILABLE:
		return endive.SubmitResult{Status: endive.SubmitUnavailable, RetryAfter: callerRetryAfter, Reason: answer.GetReason()}
	default:
		return endive.SubmitResult{Status: endive.SubmitUnknown, RetryAfter: callerRetryAfter, Reason: answer.GetReason()}
	}
}

// commitSubmission writes a submission. Once an answer was lost, nothing but a
// later answer can tell whether it is stored, and it is never called refused.
func (c *Cell) commitSubmission(ctx context.Context, txn endive.Transaction) endive.SubmitResult {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	answerLost := false
	for try := 1; ; try++ {
		err := c.commitWithin(ctx, txn, c.Store.adaptiveTimeout(time.Duration(c.Settings.Timings.StoreTimeout)))
		switch {
		case err == nil:
			return endive.SubmitResult{Status: endive.SubmitAccepted, Reason: "stored"}
		case endive.ErrConflict.Has(err):
			return endive.SubmitResult{Status: endive.SubmitAccepted, AlreadyStored: true, Reason: "is stored already"}
		case endive.ErrUnknown.Has(err):
			answerLost = true
		}
		if answerLost && !c.Store.usable() || try == maxSubmitTries || ctx.Err() != nil {
			if answerLost {
				return endive.SubmitResult{Status: endive.SubmitUnknown, RetryAfter: callerRetryAfter, Reason: err.Error()}
			}
			return endive.SubmitResult{Status: endive.SubmitUnavailable, RetryAfter: callerRetryAfter, Reason: err.Error()}
		}
		c.sleep(storeRetryDelay)
	}
}

// commit writes a transaction within the bound of one call.
func (c *Cell) commit(ctx context.Context, txn endive.Transaction) error {
	return c.commitWithin(ctx, txn, time.Duration(c.Settings.Timings.StoreTimeout))
}

// commitWithin writes a transaction within a bound.
func (c *Cell) commitWithin(ctx context.Context, txn endive.Transaction, bound time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	_, err := c.Store.Commit(limited, txn)
	return err
}

// prefetchAdvice asks which workers may run the steps that come first, while the
// workflow is written, so that the answer is there when it is. The questions of all
// entries are answered side by side. It reports whether it asked about all of them.
func (c *Cell) prefetchAdvice(queue endive.Queue, workflow endive.Workflow) bool {
	if !queue.Advice.Required() || workflow.Schedule.Occurrences > 0 {
		return false
	}
	p := c.poolNamed(queue.Pool)
	if p == nil || p.currentHolder() == "" {
		return false
	}
	// In a saturated pool the tickets would run out before there is room, but for work
	// that goes first. Gangs are asked about for which workers are good, which stays.
	saturated := p.status.Load().Saturated && queue.Rank > 0
	workers, _ := c.workers.inPool(queue.Pool)
	inHolderRegion := c.peers.regionZones(p.currentHolder())
	allRequested := true
	for i, step := range workflow.Steps {
		if len(step.After) > 0 {
			continue
		}
		if saturated && !step.Gang {
			allRequested = false
			continue
		}
		id := endive.StepID(string(workflow.ID) + ".0." + strconv.Itoa(i))
		candidates := candidateWorkers(workers, step, id, inHolderRegion)
		requested := len(candidates) > 0 &&
			c.adviceRouter.routeWithin(adviceRequest{step: id, workers: candidates, pool: p, cost: queue.Advice.Cost(len(candidates))}, maxPrefetchDelay)
		allRequested = allRequested && requested
	}
	return allRequested
}

const (
	// minAdviceWorkers is how many are named at least, as far as there are so many.
	minAdviceWorkers = 24
	// workersPerTask is how many are named for each task: a part of them isn't good
	// for the step, and others are full.
	workersPerTask = 5
)

// candidateWorkers returns workers that could run a task of the step, were they empty.
// Where there are more than needed, each step gets others; a quick one gets those near
// the pool's holder first, and a long one the others.
func candidateWorkers(workers []endive.FleetWorker, step endive.Step, id endive.StepID, inHolderRegion func(endive.Zone) bool) []endive.WorkerID {
	quick := time.Duration(step.Estimate) <= flow.MaxShortEstimate
	var preferred, others []endive.WorkerID
	for _, w := range workers {
		switch {
		case w.Draining || !step.Reserved().Fits(w.Capacity) || step.Label != "" && !w.HasLabel(step.Label):
		case inHolderRegion(w.Zone) == quick:
			preferred = append(preferred, w.ID)
		default:
			others = append(others, w.ID)
		}
	}
	preferred = append(flow.RotateByStep(preferred, id), flow.RotateByStep(others, id)...)
	limit := max(minAdviceWorkers, workersPerTask*step.Tasks)
	if step.Gang {
		limit = flow.GangSurveySize(step.Tasks)
	}
	return preferred[:min(len(preferred), flow.MaxAdviceWorkers, limit)]
}
