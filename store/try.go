package store

import (
	"context"
	"time"

	"endiveroute.example/endive"
)

// try runs an operation and retries it while it fails without having been carried
// out, within the limit of tries, the retry budget and the circuit breaker. Each
// attempt has its own timeout. The returned error is that of the last attempt.
func (c *Client) try(ctx context.Context, operation func(context.Context) error) error {
	for try := 1; ; try++ {
		if !c.allow() {
			return endive.ErrUnavailable.New("Client.try: the circuit breaker is open after failures of the table service; operation not sent")
		}
		err := c.tryOnce(ctx, operation)
		if err == nil || !endive.ErrUnavailable.Has(err) || endive.ErrUnknown.Has(err) {
			return err
		}
		if try >= c.settings.Tries || !c.retry() {
			return err
		}
		if !c.pause(ctx, try) {
			return err
		}
	}
}

// tryOnce runs one attempt of an operation and records whether it was answered.
func (c *Client) tryOnce(ctx context.Context, operation func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.settings.Timeout))
	defer cancel()
	err := operation(ctx)
	c.recordResult(err == nil || endive.ErrConflict.Has(err))
	return err
}

// allow reports whether the circuit breaker allows an operation. It counts the
// operations that it rejects.
func (c *Client) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breaker.allow(c.clock.Now()) {
		return true
	}
	c.counts.Rejected++
	return false
}

// recordResult updates the circuit breaker and the retry budget with the result of
// an attempt.
func (c *Client) recordResult(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.record(c.clock.Now(), answered)
	if answered {
		c.retryBudget.earn()
		return
	}
	c.counts.Failures++
}

// retry takes one retry from the budget and counts it. It reports false if the
// budget is empty.
func (c *Client) retry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retryBudget.spend() {
		return false
	}
	c.counts.Retries++
	return true
}

// pause waits before the next attempt. It draws the wait from the client's seeded
// random source, between zero and twice the mean. It reports false if ctx ends
// first.
func (c *Client) pause(ctx context.Context, try int) bool {
	mean := c.settings.Backoff
	for i := 1; i < try && mean < c.settings.MaxBackoff; i++ {
		mean *= 2
	}
	mean = min(mean, c.settings.MaxBackoff)
	c.mu.Lock()
	wait := time.Duration(c.random.Int64N(2*int64(mean) + 1))
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
