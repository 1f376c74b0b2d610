package cell

import (
	"context"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

const (
	// relayTimeout bounds the wait for an entry that does something for us.
	relayTimeout = 1500 * time.Millisecond
	// probeTimeout bounds the wait for an entry that tells whether it can.
	probeTimeout = 250 * time.Millisecond
	// probeMaxAge is how long such an answer holds, and how long nobody is asked after
	// none could.
	probeMaxAge = 500 * time.Millisecond
)

// relayClient has other entries do what this one can't while the store doesn't answer
// it.
type relayClient struct {
	cell *Cell

	mu      sync.Mutex
	lastTag uint64
	waiters map[uint64]chan *wire.RelayAnswer
	// capableAt is when each entry last told that it can do something for us.
	capableAt map[endive.EntryID]time.Time
	// noneCapableAt is when no entry could.
	noneCapableAt time.Time
}

func newRelayClient(c *Cell) *relayClient {
	return &relayClient{cell: c, lastTag: initialTag(c), waiters: make(map[uint64]chan *wire.RelayAnswer), capableAt: make(map[endive.EntryID]time.Time)}
}

// send has an entry do something. It returns nil where nothing is known of what
// became of it.
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
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "no entry can be reached"}
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

// handleAnswer takes in an answer.
func (r *relayClient) handleAnswer(m *wire.RelayAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answers := r.waiters[m.GetTag()]; answers != nil {
		delete(r.waiters, m.GetTag())
		answers <- m
	}
}

// forward has the first entry that can do it do something. What isn't sent to an entry
// that can is surely not done.
func (r *relayClient) forward(ctx context.Context, ask *wire.RelayAsk) *wire.RelayAnswer {
	if r.inBackoff() {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the store is away, and no entry reached it a moment ago"}
	}
	entry, ok := r.findCapable(ctx, r.cell.peers.linkedEntries())
	if !ok {
		r.startBackoff()
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the store is away, and no entry reaches it"}
	}
	answer := r.send(ctx, entry, ask, relayTimeout)
	if answer == nil {
		r.removeCapable(entry)
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_STATUS_UNKNOWN, Reason: "entry " + string(entry) + " didn't answer"}
	}
	return answer
}

// findCapable returns the first of some entries that told a moment ago that it can do
// something for us, or that tells so now.
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

// inBackoff reports whether no entry could do anything for us a moment ago.
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

// maxProbes bounds how many entries are asked whether they can.
const maxProbes = 3

// relayedRequest does something for another entry.
type relayedRequest struct {
	cell *Cell
	from endive.EntryID
	ask  *wire.RelayAsk
}

func (r *relayedRequest) run() {
	left := time.Duration(r.ask.GetMillisLeft()) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.cell.ctx, min(left, relayTimeout))
	defer cancel()
	answer := r.execute(ctx)
	answer.Tag = r.ask.GetTag()
	r.cell.peers.mesh.Send(r.from, answer)
	switch r.ask.GetKind() {
	case wire.RelayKind_RELAY_PROBE, wire.RelayKind_RELAY_HELD_STATE:
		return
	}
	r.cell.Log.Info("decision", "kind", "relay", "job", r.ask.GetJob(), "entry", string(r.from),
		"what", r.ask.GetKind().String(), "outcome", answer.GetStatus().String(), "reason", answer.GetReason())
}

func (r *relayedRequest) execute(ctx context.Context) *wire.RelayAnswer {
	c, id := r.cell, endive.JobID(r.ask.GetJob())
	queue := endive.Queue{Name: endive.QueueName(r.ask.GetQueue()), Pool: endive.PoolName(r.ask.GetPool())}
	if r.ask.GetKind() == wire.RelayKind_RELAY_HELD_STATE {
		return c.answerStateRequest(ctx, queue.Pool, id)
	}
	if !c.Store.usable() {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the store is away here too"}
	}
	if c.draining.Load() && r.ask.GetKind() == wire.RelayKind_RELAY_PROBE {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the entry is about to end"}
	}
	switch r.ask.GetKind() {
	case wire.RelayKind_RELAY_PROBE:
		return relayAnswer(nil, "", 0)
	case wire.RelayKind_RELAY_SUBMIT:
		return r.submit(ctx, queue, id)
	case wire.RelayKind_RELAY_STATE:
		progress, _, err := c.findWorkflow(ctx, queue, id)
		return relayAnswer(err, string(progress.State), 0)
	case wire.RelayKind_RELAY_CANCEL:
		return relayAnswer(c.cancelLocally(ctx, queue, id), "", 0)
	case wire.RelayKind_RELAY_PENDING:
		count, err := c.pendingLocally(queue)
		return relayAnswer(err, "", int64(count))
	default:
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "this version doesn't know what is asked"}
	}
}

func (r *relayedRequest) submit(ctx context.Context, queue endive.Queue, id endive.JobID) *wire.RelayAnswer {
	result := r.cell.storeSubmission(ctx, queue.Pool, id, r.ask.GetSubmission())
	answer := &wire.RelayAnswer{Reason: result.Reason}
	switch result.Status {
	case endive.SubmitAccepted:
		answer.Status = wire.RelayStatus_RELAY_DONE
	case endive.SubmitRefused, endive.SubmitUnavailable:
		answer.Status = wire.RelayStatus_RELAY_UNAVAILABLE
	}
	return answer
}

// relayAnswer turns the result of a call into an answer.
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

// relayError turns an answer back into an error.
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

// newRelayAsk returns what to ask about a workflow of a queue.
func newRelayAsk(kind wire.RelayKind, queue endive.Queue, id endive.JobID) *wire.RelayAsk {
	return &wire.RelayAsk{Kind: kind, Pool: string(queue.Pool), Queue: string(queue.Name), Job: string(id)}
}
