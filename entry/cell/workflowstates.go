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
	// sameRegionTimeout bounds the wait for a holder of this region that tells a state, and
	// otherRegionTimeout for one of another region.
	sameRegionTimeout  = 80*time.Millisecond + endRecordWait
	otherRegionTimeout = 200*time.Millisecond + endRecordWait
	// endRecordWait bounds the wait for the record of an end: its caller would be told that
	// the workflow runs, and ask again later.
	endRecordWait = 150 * time.Millisecond
	// holderBackoff is how long a holder that didn't answer isn't asked for states.
	holderBackoff = time.Second
)

// workflowStates is what callers may be told of a pool's workflows. It is safe for concurrent use.
type workflowStates struct {
	mu     sync.Mutex
	states map[endive.JobID]endive.WorkflowState
	// ending has, for each workflow whose end isn't recorded yet, what is closed then.
	ending map[endive.JobID]chan struct{}
	// expiry is when the lease of the pool ends, after which another entry may know more.
	expiry time.Time
}

// setExpiry takes in a renewal of the lease.
func (s *workflowStates) setExpiry(expiry time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiry = expiry
}

// apply takes in what callers may be told of a workflow.
func (s *workflowStates) apply(change flow.PublishState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states == nil {
		s.states = make(map[endive.JobID]endive.WorkflowState)
		s.ending = make(map[endive.JobID]chan struct{})
	}
	if recorded := s.ending[change.Job]; recorded != nil {
		close(recorded)
		delete(s.ending, change.Job)
	}
	if change.EndPending {
		s.ending[change.Job] = make(chan struct{})
	}
	if change.State == "" {
		delete(s.states, change.Job)
		return
	}
	s.states[change.Job] = change.State
}

// clear forgets everything, at the end of a tenure.
func (s *workflowStates) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, recorded := range s.ending {
		close(recorded)
	}
	s.states, s.ending, s.expiry = nil, nil, time.Time{}
}

// awaitState returns what callers may be told of a workflow; of one that has ended, once
// that is recorded, if it is soon.
func (s *workflowStates) awaitState(ctx context.Context, clock endive.Clock, id endive.JobID) (endive.WorkflowState, bool) {
	s.mu.Lock()
	recorded := s.ending[id]
	s.mu.Unlock()
	if recorded != nil {
		timer := time.NewTimer(endRecordWait)
		defer timer.Stop()
		select {
		case <-recorded:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return s.stateAt(clock.Now(), id)
}

// stateAt returns what callers may be told of a workflow.
func (s *workflowStates) stateAt(now time.Time, id endive.JobID) (endive.WorkflowState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.states[id]
	return state, ok && now.Before(s.expiry)
}

// stateFromHolder asks the holder of a pool for the state of a workflow. It reports whether the
// holder knows it.
func (c *Cell) stateFromHolder(ctx context.Context, queue endive.Queue, id endive.JobID) (endive.WorkflowState, bool) {
	p := c.poolNamed(queue.Pool)
	if p == nil {
		return "", false
	}
	now := c.Clock.Now()
	if p.holding.Load() {
		return p.states.awaitState(ctx, c.Clock, id)
	}
	holder := p.currentHolder()
	if holder == "" || holder == c.Settings.Name || now.Before(*p.holderBackoffUntil.Load()) {
		return "", false
	}
	timeout := otherRegionTimeout
	if c.peers.inOwnRegion(holder) {
		timeout = sameRegionTimeout
	}
	answer := c.relayClient.send(ctx, holder, newRelayAsk(wire.RelayKind_RELAY_HELD_STATE, queue, id), timeout)
	if answer == nil && ctx.Err() == nil {
		until := c.Clock.Now().Add(holderBackoff)
		p.holderBackoffUntil.Store(&until)
		c.Log.Info("a holder didn't tell a state", "pool", string(p.name), "entry", string(holder), "job", string(id))
	}
	return endive.WorkflowState(answer.GetState()), answer.GetStatus() == wire.RelayStatus_RELAY_DONE
}

// answerStateRequest answers another entry.
func (c *Cell) answerStateRequest(ctx context.Context, pool endive.PoolName, id endive.JobID) *wire.RelayAnswer {
	p := c.poolNamed(pool)
	if p == nil || !p.holding.Load() {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the pool isn't held here"}
	}
	state, ok := p.states.awaitState(ctx, c.Clock, id)
	if !ok {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the holder doesn't know the workflow"}
	}
	return relayAnswer(nil, string(state), 0)
}
