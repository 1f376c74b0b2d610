package weigh

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The goals that the router is held to.
const (
	// maxUnanswered is the share of idempotent requests that one executor that
	// fails everything may cost their answer.
	maxUnanswered = 0.01
	// maxSlowdown is how much slower the p99 may be, recoverWithin after a part
	// of the executors went silent.
	maxSlowdown   = 2
	recoverWithin = 5 * time.Second
	// maxRetryLoad is the load that retries may add.
	maxRetryLoad = 0.10
)

// TestFailingExecutor has one executor that fails everything from some moment
// on, in each way.
func TestFailingExecutor(t *testing.T) {
	for name, fault := range map[string]fault{"failing": failing, "refusing": refusing, "erring": answering500, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(*seed, owners)
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

// TestSilentExecutors has 30% of the executors gone silent, at half load.
func TestSilentExecutors(t *testing.T) {
	is := is.New(t)
	c := newCell(*seed, owners)
	rate := 0.5 * c.capacity()
	c.load(rate, 2*time.Second)
	before := c.now
	c.load(rate, 4*time.Second)
	broken := c.now
	for i := range (executors*30 + 99) / 100 {
		c.hosts[3*i+i%3].fault = silent
	}
	c.load(rate, recoverWithin)
	back := c.now
	c.load(rate, 5*time.Second)
	end := c.now
	c.run(2 * timeout)
	was := quantile(c.summarize(before, broken.Add(-time.Second)).totals, 0.99)
	f := c.summarize(back, end)
	now := quantile(f.totals, 0.99)
	t.Logf("p99 %.0f ms before, %.0f ms after %s; %d of %d not answered", was, now, recoverWithin, f.sent-f.answered, f.sent)
	is.True(now <= maxSlowdown*was)                                   // p99
	is.True(float64(f.answered) >= float64(f.sent)*(1-maxUnanswered)) // answered
	is.True(c.mostBusy() <= slotsEach)                                // slots used at once
}

// TestRetryStorm has all executors, or half of them, fail everything.
func TestRetryStorm(t *testing.T) {
	for name, each := range map[string]int{"all": 1, "half": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(*seed, owners)
			rate := 0.4 * c.capacity()
			c.load(rate, 2*time.Second)
			for i := 0; i < len(c.hosts); i += each {
				c.hosts[i].fault = failing
			}
			calls, tried := c.calls, c.dispatchedRequests()
			c.load(rate, 8*time.Second)
			calls, tried = c.calls-calls, c.dispatchedRequests()-tried
			added := float64(calls)/float64(tried) - 1
			t.Logf("%d requests were tried, %d attempts, %+.2f%%", tried, calls, 100*added)
			is.True(added <= maxRetryLoad) // attempts above one for each request
		})
	}
}

// dispatchedRequests counts the requests that were dispatched at least once.
func (c *cell) dispatchedRequests() int {
	n := 0
	for _, r := range c.requests {
		if !r.dispatched.IsZero() {
			n++
		}
	}
	return n
}
