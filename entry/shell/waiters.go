package shell

import (
	"context"
	"strconv"
	"sync"

	"endiveroute.example/endive"
)

// waiters delivers answers of machines to the calls that wait for them. Each
// call waits under a key that no other call uses.
type waiters struct {
	mu      sync.Mutex
	last    uint64
	pending map[string]chan endive.Action
}

func newWaiters() *waiters {
	return &waiters{pending: make(map[string]chan endive.Action)}
}

// nextTag returns a number that is unique to one call.
func (w *waiters) nextTag() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	return w.last
}

// waitKey returns the key of a call to a role's machine with the given tag.
func waitKey(role string, tag uint64) string {
	return role + "/" + strconv.FormatUint(tag, 10)
}

// register adds a call. It must be followed by wait or unregister.
func (w *waiters) register(key string) chan endive.Action {
	answers := make(chan endive.Action, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[key] = answers
	return answers
}

// wait returns the answer, or ErrUnknown if ctx ends first.
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

// deliver passes an answer to its call if the call still waits. It drops all
// answers to a call but the first.
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

// requestRole sends an event with the given tag to a role's machine and waits for
// the answer.
func (s *Shell) requestRole(ctx context.Context, r *role, tag uint64, event endive.Event) (endive.Action, error) {
	key := waitKey(roleKind(r.name), tag)
	answers := s.waiters.register(key)
	r.send(event)
	return s.waiters.wait(ctx, key, answers)
}
