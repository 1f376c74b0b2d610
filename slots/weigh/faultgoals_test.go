package weigh

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The limits that the router must meet.
const (
	// maxUnanswered is the maximum share of idempotent requests that remain
	// unanswered because one executor fails all requests.
	maxUnanswered = 0.01
	// maxSlowdown is the maximum factor by which the p99 latency may rise,
	// measured recoverWithin after some of the executors became silent.
	maxSlowdown   = 2
	recoverWithin = 5 * time.Second
	// maxRetryLoad is the maximum load added by retries, as a share of the
	// first attempts.
	maxRetryLoad = 0.10
)

// TestFailingExecutor checks, for each kind of fault, that less than
// maxUnanswered of the requests remain unanswered when one executor starts to
// fail all requests under load.
func TestFailingExecutor(t *testing.T) {
	for name, fault := range map[string]fault{"failing": failing, "refusing": refusing, "erring": answering500, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(*seed, newOwners)
			rate := 0.8 * c.capacity()
			c.load(rate, 2*time.Second)
			c.hosts[2].fault = fault
			since := c.now
			c.load(rate, 4*time.Second)
			until := c.now
			c.run(2 * timeout)
			f := c.summarize(since, until)
			unanswered := float64(f.sent-f.answered) / float64(f.sent)
			t.Logf("%d requests, %d not answered (%.3f%%)", f.sent, f.sent-f.answered, 100*unanswered)
			is.True(unanswered < maxUnanswered) // requests without an answer
			is.True(c.mostBusy() <= slotsEach)  // slots used at once
		})
	}
}

// TestSilentExecutors checks that the p99 latency recovers, and that requests
// are answered, after 30% of the executors became silent at half load.
func TestSilentExecutors(t *testing.T) {
	is := is.New(t)
	c := newCell(*seed, newOwners)
	rate := 0.5 * c.capacity()
	c.load(rate, 2*time.Second)
	before := c.now
	c.load(rate, 4*time.Second)
	faultsAt := c.now
	for i := range (executors*30 + 99) / 100 {
		c.hosts[3*i+i%3].fault = silent
	}
	c.load(rate, recoverWithin)
	recoveredAt := c.now
	c.load(rate, 5*time.Second)
	end := c.now
	c.run(2 * timeout)
	p99Before := quantile(c.summarize(before, faultsAt.Add(-time.Second)).totals, 0.99)
	f := c.summarize(recoveredAt, end)
	p99After := quantile(f.totals, 0.99)
	t.Logf("p99 %.0f ms before, %.0f ms after %s; %d of %d not answered", p99Before, p99After, recoverWithin, f.sent-f.answered, f.sent)
	is.True(p99After <= maxSlowdown*p99Before)                        // p99
	is.True(float64(f.answered) >= float64(f.sent)*(1-maxUnanswered)) // answered
	is.True(c.mostBusy() <= slotsEach)                                // slots used at once
}

// TestRetryStorm checks that retries add at most maxRetryLoad while all
// executors, or half of them, fail all requests.
func TestRetryStorm(t *testing.T) {
	for name, step := range map[string]int{"all": 1, "half": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(*seed, newOwners)
			rate := 0.4 * c.capacity()
			c.load(rate, 2*time.Second)
			for i := 0; i < len(c.hosts); i += step {
				c.hosts[i].fault = failing
			}
			calls, tried := c.calls, c.dispatchedRequests()
			c.load(rate, 8*time.Second)
			calls, tried = c.calls-calls, c.dispatchedRequests()-tried
			added := float64(calls)/float64(tried) - 1
			t.Logf("%d requests dispatched, %d attempts, %+.2f%% added", tried, calls, 100*added)
			is.True(added <= maxRetryLoad) // attempts above one for each request
		})
	}
}

// dispatchedRequests returns the number of requests that were dispatched at
// least once.
func (c *cell) dispatchedRequests() int {
	n := 0
	for _, r := range c.requests {
		if !r.dispatched.IsZero() {
			n++
		}
	}
	return n
}
