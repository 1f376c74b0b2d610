package cell

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

const (
	// storeRetryDelay is the pause before a failed read or write is retried.
	storeRetryDelay = 30 * time.Millisecond
	// maxSubmitTries is how often a write is tried before the client gets an error.
	maxSubmitTries = 3
	// submitTimeout limits all tries to write a submission. Clients wait about twice as
	// long in total.
	submitTimeout = 1400 * time.Millisecond
)

// Submit implements endive.Cell.
func (c *Cell) Submit(ctx context.Context, match endive.QueueMatch, workflow endive.Workflow) endive.SubmitResult {
	start := c.Clock.Now()
	result := c.unconfirmed.resolve(c.Clock.Now(), workflow.ID, c.submit(ctx, match, workflow))
	result = c.accepted.resolve(c.Clock.Now(), workflow.ID, match.Caller.Account, result)
	c.Counters.recordSubmission(result.Status, c.Clock.Now().Sub(start))
	c.Log.Info("decision", "kind", "submit", "job", string(workflow.ID), "queue", string(match.Queue.Name),
		"account", string(match.Caller.Account), "configVersion", int64(match.ConfigVersion), "steps", len(workflow.Steps), "outcome", string(result.Status),
		"reason", result.Reason, "millis", c.Clock.Now().Sub(start).Milliseconds())
	return result
}

func (c *Cell) submit(ctx context.Context, match endive.QueueMatch, workflow endive.Workflow) endive.SubmitResult {
	if !c.Platform.Known() {
		return endive.SubmitResult{Status: endive.SubmitUnavailable, RetryAfter: callerRetryAfter, Reason: "the store is unreachable"}
	}
	if reason := c.exceedsCap(match, workflow); reason != "" {
		return endive.SubmitResult{Status: endive.SubmitImpossible, Reason: reason}
	}
	job, err := json.Marshal(endive.Submission{
		Workflow: workflow, Policy: match.Queue, Account: match.Caller.Account, ConfigVersion: match.ConfigVersion,
		Accepted: c.Platform.AtLeast(c.Clock.Now()), Advised: c.Store.usable() && c.prefetchAdvice(match, workflow),
	})
	if err != nil {
		return endive.SubmitResult{Status: endive.SubmitUnavailable, Reason: "the submission cannot be encoded: " + err.Error()}
	}
	if !c.Store.usable() {
		return c.relaySubmission(ctx, match, workflow.ID, job)
	}
	return c.storeSubmission(ctx, match.Queue.Pool, workflow.ID, match.Caller.Account, job)
}

// exceedsCap returns why a workflow can never run within its account's cap; empty if it can.
// Only gangs can't be run in parts.
func (c *Cell) exceedsCap(match endive.QueueMatch, workflow endive.Workflow) string {
	config := c.config.current()
	if config == nil {
		return ""
	}
	account, ok := config.Accounts.Named(match.Caller.Account)
	if !ok {
		return ""
	}
	allowance := endive.QuotaAllowance{Cap: account.Cap, Tolerated: account.Tolerated(c.Settings.Bounds.QuotaOverage)}
	for _, step := range workflow.Steps {
		if step.Gang && !allowance.WithTolerated(step.Need).Allows(step.Unit()) {
			return "a gang needs " + step.Unit().String() + " at once; the account's cap is " + account.Cap.String()
		}
	}
	return ""
}

// storeSubmission writes a submission and notifies the pool's holder of it.
func (c *Cell) storeSubmission(ctx context.Context, pool endive.PoolName, id endive.JobID, account endive.AccountName, job []byte) endive.SubmitResult {
	if !c.Store.usableFor(flow.AcceptedKey(pool, id)) {
		return endive.SubmitResult{Status: endive.SubmitUnavailable, RetryAfter: callerRetryAfter, Reason: "the store partition of the workflow does not answer"}
	}
	result := c.commitSubmission(ctx, flow.SubmitTransaction(pool, c.poolNames(), id, account, job), account)
	if result.Status == endive.SubmitAccepted && !result.AlreadyStored {
		// A workflow that was stored earlier isn't notified again: it may have ended, and
		// the current holder may not know that.
		c.notifyStored(pool, id, job)
	}
	return result
}

// relaySubmission sends a submission to another entry, which stores it.
func (c *Cell) relaySubmission(ctx context.Context, match endive.QueueMatch, id endive.JobID, job []byte) endive.SubmitResult {
	ask := newRelayAsk(wire.RelayKind_RELAY_SUBMIT, match.Queue, match.Caller, id)
	ask.Submission = job
	answer := c.relayClient.forward(ctx, ask)
	switch answer.GetStatus() {
	case wire.RelayStatus_RELAY_DONE:
		return endive.SubmitResult{Status: endive.SubmitAccepted, Reason: answer.GetReason()}
	case wire.RelayStatus_RELAY_REVOKED:
		return endive.SubmitResult{Status: endive.SubmitRevoked, Reason: answer.GetReason()}
	case wire.RelayStatus_RELAY_NOT_OWNER:
		return endive.SubmitResult{Status: endive.SubmitNotOwner, Reason: answer.GetReason()}
	case wire.RelayStatus_RELAY_UNAVAILABLE:
		return endive.SubmitResult{Status: endive.SubmitUnavailable, RetryAfter: callerRetryAfter, Reason: answer.GetReason()}
	default:
		return endive.SubmitResult{Status: endive.SubmitUnknown, RetryAfter: callerRetryAfter, Reason: answer.GetReason()}
	}
}

// commitSubmission writes a submission. Once the answer to a try was lost, the submission may
// be stored: then the result is SubmitAccepted or SubmitUnknown, never SubmitUnavailable.
func (c *Cell) commitSubmission(ctx context.Context, txn endive.Transaction, account endive.AccountName) endive.SubmitResult {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	answerLost := false
	for try := 1; ; try++ {
		err := c.commitWithin(ctx, txn, c.Store.adaptiveTimeout(time.Duration(c.Settings.Timings.StoreTimeout)))
		switch {
		case err == nil:
			return endive.SubmitResult{Status: endive.SubmitAccepted, Reason: "stored"}
		case endive.ErrConflict.Has(err):
			return alreadyStored(err, account)
		case endive.ErrRejected.Has(err) && !answerLost:
			return endive.SubmitResult{Status: endive.SubmitImpossible, Reason: "the store rejects the workflow: " + err.Error()}
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

// alreadyStored returns the result of a submission whose id was accepted earlier.
func alreadyStored(conflict error, account endive.AccountName) endive.SubmitResult {
	for _, row := range conflictingRows(conflict) {
		acceptance, err := flow.DecodeAcceptance(row)
		if err == nil && acceptance.Revoked {
			return endive.SubmitResult{Status: endive.SubmitRevoked, Reason: "the workflow was cancelled before it was stored"}
		}
		if err == nil && acceptance.Account != "" && acceptance.Account != account {
			return endive.SubmitResult{Status: endive.SubmitNotOwner, Reason: "the id belongs to a workflow of another account"}
		}
	}
	return endive.SubmitResult{Status: endive.SubmitAccepted, AlreadyStored: true, Reason: "is stored already"}
}

// commit writes a transaction within the configured store time-out.
func (c *Cell) commit(ctx context.Context, txn endive.Transaction) error {
	return c.commitWithin(ctx, txn, time.Duration(c.Settings.Timings.StoreTimeout))
}

// commitWithin writes a transaction within the given time-out.
func (c *Cell) commitWithin(ctx context.Context, txn endive.Transaction, bound time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	_, err := c.Store.Commit(limited, txn)
	return err
}

// prefetchAdvice sends advice requests for a workflow's first steps before the workflow is
// written, so that the answers arrive at about the time it is stored. The service processes
// the requests of different entries in parallel. prefetchAdvice reports whether it sent
// requests for all first steps.
func (c *Cell) prefetchAdvice(match endive.QueueMatch, workflow endive.Workflow) bool {
	queue := match.Queue
	if !queue.Advice.Required() || workflow.Schedule.Occurrences > 0 {
		return false
	}
	p := c.poolNamed(queue.Pool)
	if p == nil || p.currentHolder() == "" || slices.Contains(p.status.Load().HeldBack, match.Caller.Account) {
		return false
	}
	// In a saturated pool the tickets would expire before there is free capacity, except for
	// work of the highest rank. Requests for gangs are sent anyway, since the list of eligible
	// workers in the answer doesn't expire.
	saturated := p.status.Load().Saturated && queue.Rank > 0
	workers, _ := c.workers.forAdvice(queue.Pool)
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
	// minAdviceWorkers is how many workers a request contains at least, if there are that many.
	minAdviceWorkers = 24
	// workersPerTask is how many workers a request contains per task: some of them are
	// ineligible for the step, and others have no free capacity.
	workersPerTask = 5
)

// candidateWorkers returns workers that could run a task of the step if they were idle: they
// have its label, aren't draining, and their total capacity suffices. If there are more than
// needed, different steps get different ones. Short steps prefer workers in the region of the
// pool's holder, long steps those in other regions.
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
