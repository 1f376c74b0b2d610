package load

import (
	"context"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
)

// Target names what the load is put on.
type Target struct {
	Quote, Cut endive.ServiceName
	Pool       endive.PoolName
	Team       endive.TeamName
	// Timeout is the deadline of each request.
	Timeout endive.Interval
}

// Runner sends arrivals when they are due.
type Runner struct {
	client  *client.Client
	clock   endive.Clock
	target  Target
	results *Results
	// inFlight bounds what is sent and not answered. An arrival beyond it is sent
	// late, and its time counts from when it was due.
	inFlight chan struct{}
	pending  sync.WaitGroup
}

// NewRunner returns a Runner that collects into results.
func NewRunner(client *client.Client, clock endive.Clock, target Target, inFlight int, results *Results) *Runner {
	return &Runner{client: client, clock: clock, target: target, results: results, inFlight: make(chan struct{}, inFlight)}
}

// Run sends the arrivals and returns when the last one is answered. Where ctx is
// done before, the rest isn't sent.
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

// waitUntilDue waits until an arrival is due and may be sent. It reports false where ctx
// is done first.
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
