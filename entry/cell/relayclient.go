package cell

import (
	"context"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

const (
	// relayTimeout limits the wait for the answer to a relayed request.
	relayTimeout = 1500 * time.Millisecond
	// probeTimeout limits the wait for the answer to a probe, which checks whether an entry
	// can reach the store.
	probeTimeout = 250 * time.Millisecond
	// probeMaxAge is how long the result of a probe is valid, and how long no probes are
	// sent after none succeeded.
	probeMaxAge = 500 * time.Millisecond
)

// relayClient relays requests to other entries while the store doesn't answer this one.
type relayClient struct {
	cell *Cell

	mu      sync.Mutex
	lastTag uint64
	waiters map[uint64]chan *wire.RelayAnswer
	// capableAt is when each entry last answered a probe with success.
	capableAt map[endive.EntryID]time.Time
	// noneCapableAt is when the probes of all candidates last failed.
	noneCapableAt time.Time
}

func newRelayClient(c *Cell) *relayClient {
	return &relayClient{cell: c, lastTag: initialTag(c), waiters: make(map[uint64]chan *wire.RelayAnswer), capableAt: make(map[endive.EntryID]time.Time)}
}

// send sends a request to an entry and returns its answer, or nil if none arrived in time:
// then the entry may or may not have executed the request.
func (r *relayClient) send(ctx context.Context, entry endive.EntryID, ask *wire.RelayAsk, timeout time.Duration) *wire.RelayAnswer {
	answers := make(chan *wire.RelayAnswer, 1)
	r.mu.Lock()
	r.lastTag++
	ask.Tag = r.lastTag
	r.waiters[ask.Tag] = answers
	r.mu.Unlock()
	defer r.removeWaiter(ask.Tag)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		ask.MillisLeft = time.Until(deadline).Milliseconds()
	}
	if !r.cell.peers.mesh.Send(entry, ask) {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "no connection to the entry"}
	}
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return nil
	}
}

func (r *relayClient) removeWaiter(tag uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiters, tag)
}

// handleAnswer passes an answer to the goroutine that waits for it.
func (r *relayClient) handleAnswer(m *wire.RelayAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answers := r.waiters[m.GetTag()]; answers != nil {
		delete(r.waiters, m.GetTag())
		answers <- m
	}
}

// forward sends a request to the first linked entry that reaches the store. If there is
// none, its answer has the status RELAY_UNAVAILABLE: the request was not executed.
func (r *relayClient) forward(ctx context.Context, ask *wire.RelayAsk) *wire.RelayAnswer {
	if r.inBackoff() {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the store is unreachable from this entry, and all other entries failed to reach it a moment ago"}
	}
	entry, ok := r.findCapable(ctx, r.cell.peers.linkedEntries())
	if !ok {
		r.startBackoff()
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the store is unreachable from this entry and from the other entries"}
	}
	answer := r.send(ctx, entry, ask, relayTimeout)
	if answer == nil {
		r.removeCapable(entry)
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_STATUS_UNKNOWN, Reason: "entry " + string(entry) + " did not answer in time"}
	}
	return answer
}

// findCapable returns the first candidate that has answered a probe with success within the
// last probeMaxAge. If there is none, it probes the first maxProbes candidates and returns
// the first that answers with success.
func (r *relayClient) findCapable(ctx context.Context, candidates []endive.EntryID) (endive.EntryID, bool) {
	r.mu.Lock()
	now := r.cell.Clock.Now()
	for _, id := range candidates {
		if now.Sub(r.capableAt[id]) < probeMaxAge {
			r.mu.Unlock()
			return id, true
		}
	}
	r.mu.Unlock()
	for i, id := range candidates {
		if i == maxProbes || ctx.Err() != nil {
			break
		}
		answer := r.send(ctx, id, &wire.RelayAsk{Kind: wire.RelayKind_RELAY_PROBE}, probeTimeout)
		if answer.GetStatus() == wire.RelayStatus_RELAY_DONE {
			r.recordCapable(id)
			return id, true
		}
	}
	return "", false
}

// inBackoff reports whether the last probes failed less than probeMaxAge ago.
func (r *relayClient) inBackoff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cell.Clock.Now().Sub(r.noneCapableAt) < probeMaxAge
}

func (r *relayClient) startBackoff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noneCapableAt = r.cell.Clock.Now()
}

func (r *relayClient) recordCapable(id endive.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capableAt[id] = r.cell.Clock.Now()
}

func (r *relayClient) removeCapable(id endive.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.capableAt, id)
}

// maxProbes limits the entries that are probed for one request.
const maxProbes = 3

// relayedRequest is a request of another entry that this one executes.
type relayedRequest struct {
	cell *Cell
	from endive.EntryID
	ask  *wire.RelayAsk
}

func (r *relayedRequest) run() {
	remaining := time.Duration(r.ask.GetMillisLeft()) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.cell.ctx, min(remaining, relayTimeout))
	defer cancel()
	answer := r.execute(ctx)
	answer.Tag = r.ask.GetTag()
	r.cell.peers.mesh.Send(r.from, answer)
	switch r.ask.GetKind() {
	case wire.RelayKind_RELAY_PROBE, wire.RelayKind_RELAY_HELD_STATE, wire.RelayKind_RELAY_CONFIG:
		return
	}
	r.cell.Log.Info("decision", "kind", "relay", "job", r.ask.GetJob(), "entry", string(r.from),
		"what", r.ask.GetKind().String(), "outcome", answer.GetStatus().String(), "reason", answer.GetReason())
}

func (r *relayedRequest) execute(ctx context.Context) *wire.RelayAnswer {
	c, id := r.cell, endive.JobID(r.ask.GetJob())
	queue := endive.Queue{Name: endive.QueueName(r.ask.GetQueue()), Pool: endive.PoolName(r.ask.GetPool())}
	caller := endive.Caller{Account: endive.AccountName(r.ask.GetAccount())}
	if r.ask.GetKind() == wire.RelayKind_RELAY_HELD_STATE {
		return c.answerStateRequest(ctx, queue.Pool, caller, id)
	}
	if r.ask.GetKind() == wire.RelayKind_RELAY_CONFIG {
		return (&configAnswer{cell: c, ask: r.ask}).execute()
	}
	if !c.Store.usable() {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the store is unreachable from the relaying entry"}
	}
	if c.draining.Load() && r.ask.GetKind() == wire.RelayKind_RELAY_PROBE {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the entry is draining"}
	}
	switch r.ask.GetKind() {
	case wire.RelayKind_RELAY_PROBE:
		return relayAnswer(nil, "", 0)
	case wire.RelayKind_RELAY_SUBMIT:
		return r.submit(ctx, queue, caller, id)
	case wire.RelayKind_RELAY_STATE:
		progress, _, err := c.findWorkflow(ctx, queue, caller, id)
		return relayAnswer(err, string(progress.State), 0)
	case wire.RelayKind_RELAY_CANCEL:
		return relayAnswer(c.cancelLocally(ctx, queue, caller, id), "", 0)
	case wire.RelayKind_RELAY_PENDING:
		count, err := c.pendingLocally(c.queueNamed(queue))
		return relayAnswer(err, "", int64(count))
	default:
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "unsupported request kind"}
	}
}

func (r *relayedRequest) submit(ctx context.Context, queue endive.Queue, caller endive.Caller, id endive.JobID) *wire.RelayAnswer {
	result := r.cell.storeSubmission(ctx, queue.Pool, id, caller.Account, r.ask.GetSubmission())
	answer := &wire.RelayAnswer{Reason: result.Reason}
	switch result.Status {
	case endive.SubmitAccepted:
		answer.Status = wire.RelayStatus_RELAY_DONE
	case endive.SubmitNotOwner:
		answer.Status = wire.RelayStatus_RELAY_NOT_OWNER
	case endive.SubmitRevoked:
		answer.Status = wire.RelayStatus_RELAY_REVOKED
	case endive.SubmitRefused, endive.SubmitUnavailable, endive.SubmitImpossible:
		answer.Status = wire.RelayStatus_RELAY_UNAVAILABLE
	}
	return answer
}

// relayAnswer returns the answer for the result of a call.
func relayAnswer(err error, state string, pending int64) *wire.RelayAnswer {
	answer := &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_DONE, State: state, Pending: pending}
	if err == nil {
		return answer
	}
	answer.Reason = err.Error()
	switch {
	case endive.ErrNotFound.Has(err):
		answer.Status = wire.RelayStatus_RELAY_NOT_FOUND
	case endive.ErrUnavailable.Has(err):
		answer.Status = wire.RelayStatus_RELAY_UNAVAILABLE
	default:
		answer.Status = wire.RelayStatus_RELAY_STATUS_UNKNOWN
	}
	return answer
}

// relayError converts an answer to the error of the call, or nil if it succeeded.
func relayError(answer *wire.RelayAnswer) error {
	switch answer.GetStatus() {
	case wire.RelayStatus_RELAY_DONE:
		return nil
	case wire.RelayStatus_RELAY_NOT_FOUND:
		return endive.ErrNotFound.New("%s", answer.GetReason())
	case wire.RelayStatus_RELAY_UNAVAILABLE:
		return endive.ErrUnavailable.New("%s", answer.GetReason())
	default:
		return endive.ErrUnknown.New("%s", answer.GetReason())
	}
}

// newRelayAsk returns a request about a workflow of a queue.
func newRelayAsk(kind wire.RelayKind, queue endive.Queue, caller endive.Caller, id endive.JobID) *wire.RelayAsk {
	return &wire.RelayAsk{Kind: kind, Pool: string(queue.Pool), Queue: string(queue.Name), Account: string(caller.Account), Job: string(id)}
}
