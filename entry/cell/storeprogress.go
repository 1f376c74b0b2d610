package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
)

// A large response takes long on a slow link. Once it has begun, the store has answered: the
// call isn't overdue while bytes arrive, and only the time before the first counts as the
// store's latency.

// callProgress observes the response to a call.
type callProgress struct {
	store *Store
	call  *storeCall
}

// observed returns the context for a call, whose progress is recorded.
func (s *Store) observed(ctx context.Context, call *storeCall) context.Context {
	return endive.WithReadObserver(ctx, &callProgress{store: s, call: call})
}

// BytesReceived implements endive.ReadObserver.
func (p *callProgress) BytesReceived() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	now := p.store.clock.Now()
	if p.call.answeredAt.IsZero() {
		p.call.answeredAt = now
	}
	p.call.receivedAt = now
	p.store.recordAnswer(*p.call, now)
}

// latency returns the time from the start of the call to the beginning of its response, or to
// now if that wasn't observed.
func (c *storeCall) latency(now time.Time) endive.Interval {
	if !c.answeredAt.IsZero() {
		now = c.answeredAt
	}
	return endive.Interval(now.Sub(c.startedAt))
}
