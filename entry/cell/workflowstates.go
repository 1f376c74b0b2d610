package cell

import (
	"context"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// Clients request the state of a workflow several times, most often just after it has ended.
// The pool's holder answers from memory. The store is read only for workflows that the holder
// doesn't have, since only the store determines that a workflow doesn't exist. With many
// short workflows, these requests would otherwise cause more store reads than everything else
// together, also while the store is slow.

const (
	// sameRegionTimeout limits the wait for the answer to a state request by a holder in
	// this region. otherRegionTimeout limits the wait for a holder in another region.
	sameRegionTimeout  = 80*time.Millisecond + endRecordWait
	otherRegionTimeout = 200*time.Millisecond + endRecordWait
	// endRecordWait limits the wait until the end of a workflow is recorded. Without the
	// wait the client would get the state "running" and send another request later.
	endRecordWait = 150 * time.Millisecond
	// holderBackoff is how long no state requests are sent to a holder that didn't answer.
	holderBackoff = time.Second
)

// workflowStates are the published states of a pool's workflows, from which the pool's holder
// answers clients. It is safe for concurrent use.
type workflowStates struct {
	mu     sync.Mutex
	states map[endive.JobID]publishedState
	// ending has a channel for each workflow whose end isn't recorded yet. The channel is
	// closed when it is recorded.
	ending map[endive.JobID]chan struct{}
	// expiry is when the pool's lease ends. After it another entry may hold the pool and have
	// newer states.
	expiry time.Time
}

// publishedState is the state of a workflow and the account that the workflow belongs to.
type publishedState struct {
	state endive.WorkflowState
	owner endive.AccountName
}

// setExpiry sets the end of the pool's lease after a renewal.
func (s *workflowStates) setExpiry(expiry time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiry = expiry
}

// apply applies a published state of a workflow.
func (s *workflowStates) apply(change flow.PublishState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states == nil {
		s.states = make(map[endive.JobID]publishedState)
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
	s.states[change.Job] = publishedState{state: change.State, owner: change.Account}
}

// clear removes all states at the end of a tenure.
func (s *workflowStates) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, recorded := range s.ending {
		close(recorded)
	}
	s.states, s.ending, s.expiry = nil, nil, time.Time{}
}

// awaitState returns the published state of a workflow. If the workflow has ended and its end
// isn't recorded yet, awaitState waits up to endRecordWait until it is recorded.
func (s *workflowStates) awaitState(ctx context.Context, clock endive.Clock, id endive.JobID) (publishedState, bool) {
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

// stateAt returns the published state of a workflow, and whether the state is known and the
// pool's lease hasn't expired.
func (s *workflowStates) stateAt(now time.Time, id endive.JobID) (publishedState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.states[id]
	return state, ok && now.Before(s.expiry)
}

// stateFromHolder requests the state of a workflow from the pool's holder. It reports whether
// the holder returned one. The store decides whether a workflow of another account exists.
func (c *Cell) stateFromHolder(ctx context.Context, queue endive.Queue, caller endive.Caller, id endive.JobID) (endive.WorkflowState, bool) {
	p := c.poolNamed(queue.Pool)
	if p == nil {
		return "", false
	}
	now := c.Clock.Now()
	if p.holding.Load() {
		published, ok := p.states.awaitState(ctx, c.Clock, id)
		return published.state, ok && caller.MayAccess(published.owner)
	}
	holder := p.currentHolder()
	if holder == "" || holder == c.Settings.Name || now.Before(*p.holderBackoffUntil.Load()) {
		return "", false
	}
	timeout := otherRegionTimeout
	if c.peers.inOwnRegion(holder) {
		timeout = sameRegionTimeout
	}
	answer := c.relayClient.send(ctx, holder, newRelayAsk(wire.RelayKind_RELAY_HELD_STATE, queue, caller, id), timeout)
	if answer == nil && ctx.Err() == nil {
		until := c.Clock.Now().Add(holderBackoff)
		p.holderBackoffUntil.Store(&until)
		c.Log.Info("the pool's holder did not answer a state request", "pool", string(p.name), "entry", string(holder), "job", string(id))
	}
	return endive.WorkflowState(answer.GetState()), answer.GetStatus() == wire.RelayStatus_RELAY_DONE
}

// answerStateRequest returns the answer to a state request of another entry.
func (c *Cell) answerStateRequest(ctx context.Context, pool endive.PoolName, caller endive.Caller, id endive.JobID) *wire.RelayAnswer {
	p := c.poolNamed(pool)
	if p == nil || !p.holding.Load() {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "this entry doesn't hold the pool"}
	}
	published, ok := p.states.awaitState(ctx, c.Clock, id)
	if !ok || !caller.MayAccess(published.owner) {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the holder has no state of the workflow"}
	}
	return relayAnswer(nil, string(published.state), 0)
}
