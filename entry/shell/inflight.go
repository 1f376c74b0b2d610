package shell

import (
	"context"
	"sync"
)

// inFlight counts operations in flight, so that a stop can wait for them.
type inFlight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// add changes the count of operations in flight. A negative number ends operations.
func (w *inFlight) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count += n
	if w.count == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// wait returns when no operation is in flight, or ctx's error if ctx ends first.
func (w *inFlight) wait(ctx context.Context) error {
	w.mu.Lock()
	if w.count == 0 {
		w.mu.Unlock()
		return nil
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
