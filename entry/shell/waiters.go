package shell

import (
	"context"
	"strconv"
	"sync"

	"endiveroute.example/endive"
)

// waiters pairs answers of machines with the calls that wait for them.
type waiters struct {
	mu      sync.Mutex
	last    uint64
	pending map[string]chan endive.Action
}

func newWaiters() *waiters {
	return &waiters{pending: make(map[string]chan endive.Action)}
}

// nextTag returns a number that no other call has.
func (w *waiters) nextTag() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	return w.last
}

// waitKey names the answer of one role to one tag.
func waitKey(role string, tag uint64) string {
	return role + "/" + strconv.FormatUint(tag, 10)
}

// register registers a call. It must be followed by wait or forget.
func (w *waiters) register(key string) chan endive.Action {
	answers := make(chan endive.Action, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[key] = answers
	return answers
}

// wait returns the answer, or ctx's error where that is done first.
func (w *waiters) wait(ctx context.Context, key string, answers chan endive.Action) (endive.Action, error) {
	defer w.unregister(key)
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return nil, endive.ErrUnknown.Wrap(ctx.Err())
	}
}

func (w *waiters) unregister(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, key)
}

// deliver hands an deliver to its call, if that still waits. Only the first
// deliver counts.
func (w *waiters) deliver(key string, action endive.Action) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answers, ok := w.pending[key]
	if !ok {
		return
	}
	select {
	case answers <- action:
	default:
	}
}

// requestRole tells a role's machine an event that carries the tag, and waits for its
// answer.
func (s *Shell) requestRole(ctx context.Context, r *role, tag uint64, event endive.Event) (endive.Action, error) {
	key := waitKey(roleKind(r.name), tag)
	answers := s.waiters.register(key)
	r.send(event)
	return s.waiters.wait(ctx, key, answers)
}
