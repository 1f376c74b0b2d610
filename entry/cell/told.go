package cell

import (
	"context"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// Callers ask for the state of a workflow several times, most often just after it has
// ended. The holder of the pool knows it; only what it doesn't know is read in the store,
// and that there is no such workflow only the store can tell. The load: many short
// workflows, whose callers would ask the store more often than all else together does, also
// while it is slow.

const (
	// nearTimeout bounds the wait for a holder of this region that tells a state, and
	// farTimeout for one of another region.
	nearTimeout = 80*time.Millisecond + endingWait
	farTimeout  = 200*time.Millisecond + endingWait
	// endingWait bounds the wait for the record of an end: its caller would be told that
	// the workflow runs, and ask again later.
	endingWait = 150 * time.Millisecond
	// quietPause is how long a holder that didn't answer isn't asked for states.
	quietPause = time.Second
)

// told is what callers may be told of a pool's workflows. It is safe for concurrent use.
type told struct {
	mu     sync.Mutex
	states map[endive.JobID]endive.WorkflowState
	// ending has, for each workflow whose end isn't recorded yet, what is closed then.
	ending map[endive.JobID]chan struct{}
	// until is when the lease of the pool ends, after which another entry may know more.
	until time.Time
}

// extend takes in a renewal of the lease.
func (t *told) extend(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = until
}

// take takes in what callers may be told of a workflow.
func (t *told) take(a flow.PublishState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.states == nil {
		t.states = make(map[endive.JobID]endive.WorkflowState)
		t.ending = make(map[endive.JobID]chan struct{})
	}
	if recorded := t.ending[a.Job]; recorded != nil {
		close(recorded)
		delete(t.ending, a.Job)
	}
	if a.EndPending {
		t.ending[a.Job] = make(chan struct{})
	}
	if a.State == "" {
		delete(t.states, a.Job)
		return
	}
	t.states[a.Job] = a.State
}

// clear forgets everything, at the end of a tenure.
func (t *told) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, recorded := range t.ending {
		close(recorded)
	}
	t.states, t.ending, t.until = nil, nil, time.Time{}
}

// stateSoon returns what callers may be told of a workflow; of one that has ended, once
// that is recorded, if it is soon.
func (t *told) stateSoon(ctx context.Context, clock endive.Clock, id endive.JobID) (endive.WorkflowState, bool) {
	t.mu.Lock()
	recorded := t.ending[id]
	t.mu.Unlock()
	if recorded != nil {
		timer := time.NewTimer(endingWait)
		defer timer.Stop()
		select {
		case <-recorded:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return t.state(clock.Now(), id)
}

// state returns what callers may be told of a workflow.
func (t *told) state(now time.Time, id endive.JobID) (endive.WorkflowState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.states[id]
	return state, ok && now.Before(t.until)
}

// heldState asks the holder of a pool for the state of a workflow. It reports whether the
// holder knows it.
func (c *Cell) heldState(ctx context.Context, queue endive.Queue, id endive.JobID) (endive.WorkflowState, bool) {
	p := c.poolNamed(queue.Pool)
	if p == nil {
		return "", false
	}
	now := c.Clock.Now()
	if p.holds.Load() {
		return p.told.stateSoon(ctx, c.Clock, id)
	}
	holder := p.heldIn()
	if holder == "" || holder == c.Settings.Name || now.Before(*p.quietUntil.Load()) {
		return "", false
	}
	timeout := farTimeout
	if c.peers.near(holder) {
		timeout = nearTimeout
	}
	answer := c.relays.ask(ctx, holder, relayAsk(wire.RelayKind_RELAY_HELD_STATE, queue, id), timeout)
	if answer == nil && ctx.Err() == nil {
		until := c.Clock.Now().Add(quietPause)
		p.quietUntil.Store(&until)
		c.Log.Info("a holder didn't tell a state", "pool", string(p.name), "entry", string(holder), "job", string(id))
	}
	return endive.WorkflowState(answer.GetState()), answer.GetStatus() == wire.RelayStatus_RELAY_DONE
}

// tellHeldState answers another entry.
func (c *Cell) tellHeldState(ctx context.Context, pool endive.PoolName, id endive.JobID) *wire.RelayAnswer {
	p := c.poolNamed(pool)
	if p == nil || !p.holds.Load() {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the pool isn't held here"}
	}
	state, ok := p.told.stateSoon(ctx, c.Clock, id)
	if !ok {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the holder doesn't know the workflow"}
	}
	return answerOf(nil, string(state), 0)
}
