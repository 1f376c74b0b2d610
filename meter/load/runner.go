package load

import (
	"context"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
)

// Target names the services, pool and team that receive the load.
type Target struct {
	Quote, Cut endive.ServiceName
	Pool       endive.PoolName
	Team       endive.TeamName
	// Timeout is the time from an arrival's due time to its deadline.
	Timeout endive.Interval
}

// Runner sends arrivals when they are due.
type Runner struct {
	client  *client.Client
	clock   endive.Clock
	target  Target
	results *Results
	// inFlight limits the number of requests without a response. Beyond the limit, an
	// arrival is sent late; its latency is still measured from its due time.
	inFlight chan struct{}
	pending  sync.WaitGroup
}

// NewRunner returns a Runner that adds to results and sends at most inFlight arrivals at
// the same time.
func NewRunner(client *client.Client, clock endive.Clock, target Target, inFlight int, results *Results) *Runner {
	return &Runner{client: client, clock: clock, target: target, results: results, inFlight: make(chan struct{}, inFlight)}
}

// Run sends the arrivals and returns when all have been answered or have failed. Once ctx
// is done, it sends no more.
func (r *Runner) Run(ctx context.Context, arrivals []Arrival) {
	start := r.clock.Now()
	for _, arrival := range arrivals {
		due := arrival.Due.After(start)
		if !r.waitUntilDue(ctx, due) {
			break
		}
		r.pending.Add(1)
		s := &sender{runner: r, arrival: arrival, due: due}
		go s.run(ctx)
	}
	r.pending.Wait()
}

// waitUntilDue waits until an arrival is due and the limit on requests in flight allows
// it to be sent. It returns false if ctx is done first.
func (r *Runner) waitUntilDue(ctx context.Context, due time.Time) bool {
	if delay := due.Sub(r.clock.Now()); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	select {
	case r.inFlight <- struct{}{}:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
