package cell

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// adviceCallTimeout limits one request to the advice service, which processes the
// requests of a machine sequentially.
const adviceCallTimeout = 2500 * time.Millisecond

const (
	// maxQueuedRequests limits the queued requests. Further ones fail at once, and the
	// pool's holder then sends a request itself.
	maxQueuedRequests = 64
	// maxPrefetchDelay limits how long a request about new work may be queued. If the
	// delay would be longer, the request isn't sent, and the holder later sends one through
	// a less busy entry.
	maxPrefetchDelay = 400 * time.Millisecond
	// maxQueueWait is how long after its due time a queued request is dropped, because no
	// requester waits for an answer any longer.
	maxQueueWait = 1500 * time.Millisecond
)

// adviceRequest is a request to the advice service: which workers may run a step.
type adviceRequest struct {
	step    endive.StepID
	workers []endive.WorkerID
	pool    *pool
	// fromHolder marks requests of the pool's holder in this process; requester is the entry
	// that sent the request, if it is another one. Answers to requests with neither are
	// sent to the pool's current holder.
	fromHolder bool
	requester  endive.EntryID
	tag        uint64
	// cost is the expected time from sending the request to its answer. dueAt orders the
	// queue.
	cost  endive.Interval
	dueAt time.Time
}

// adviceQueue sends requests to the advice service, one at a time.
type adviceQueue struct {
	cell *Cell

	mu sync.Mutex
	// queued is sorted by dueAt.
	queued []adviceRequest
	// backlog is the total cost of the queued requests and the one in progress.
	backlog endive.Interval
	// busyUntil is when the request in progress is expected to be answered.
	busyUntil time.Time
	// wake receives a value when a request is queued.
	wake chan struct{}
}

func newAdviceQueue(c *Cell) *adviceQueue { return &adviceQueue{cell: c, wake: make(chan struct{}, 1)} }

// costDelayFactor determines the order of the queue: a request is due at its arrival plus
// its cost times this factor. A cheaper request that arrives later but is due earlier
// overtakes it: backlogs contain requests that take half a second next to ones that take
// 20 ms.
const costDelayFactor = 2

// enqueue queues a request. It never blocks; a request that doesn't fit into the queue
// fails at once.
func (q *adviceQueue) enqueue(r adviceRequest) {
	r.dueAt = q.cell.Clock.Now().Add(costDelayFactor * time.Duration(r.cost))
	q.mu.Lock()
	full := len(q.queued) >= maxQueuedRequests
	if !full {
		q.backlog += r.cost
		position := sort.Search(len(q.queued), func(i int) bool { return q.queued[i].dueAt.After(r.dueAt) })
		q.queued = slices.Insert(q.queued, position, r)
	}
	q.mu.Unlock()
	if full {
		q.deliver(r, endive.Advice{}, false)
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns the next request, if there is one.
func (q *adviceQueue) dequeue() (adviceRequest, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queued) == 0 {
		return adviceRequest{}, false
	}
	r := q.queued[0]
	q.queued = q.queued[1:]
	q.busyUntil = q.cell.Clock.Now().Add(time.Duration(r.cost))
	return r, true
}

// queueDelay returns how long a new request of the given cost would be queued.
func (q *adviceQueue) queueDelay(cost endive.Interval) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cell.Clock.Now()
	due := now.Add(costDelayFactor * time.Duration(cost))
	delay := max(0, q.busyUntil.Sub(now))
	for _, r := range q.queued {
		if r.dueAt.After(due) {
			break
		}
		delay += time.Duration(r.cost)
	}
	return delay
}

// queuedCost returns the total cost of the queued requests and the one in progress.
func (q *adviceQueue) queuedCost() endive.Interval {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog
}

// finish subtracts the cost of a processed request from the backlog.
func (q *adviceQueue) finish(r adviceRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backlog -= r.cost
}

func (q *adviceQueue) run() {
	for q.cell.ctx.Err() == nil {
		if r, ok := q.dequeue(); ok {
			q.process(r)
			continue
		}
		select {
		case <-q.wake:
		case <-q.cell.ctx.Done():
		}
	}
}

func (q *adviceQueue) process(r adviceRequest) {
	defer q.finish(r)
	if q.cell.Clock.Now().After(r.dueAt.Add(maxQueueWait)) {
		q.deliver(r, endive.Advice{}, false)
		return
	}
	ctx, cancel := context.WithTimeout(q.cell.ctx, adviceCallTimeout)
	defer cancel()
	advice, err := q.cell.Advisor.Advise(ctx, r.step, r.workers)
	if err != nil {
		q.cell.Log.Warn("advice request failed", "step", string(r.step), "workers", len(r.workers), "error", err.Error())
	}
	q.deliver(r, advice, err == nil)
}

// deliver sends the advice to the requester: another entry or the pool's holder in this
// process. Prefetched advice goes to the pool's current holder.
func (q *adviceQueue) deliver(r adviceRequest, advice endive.Advice, ok bool) {
	if r.requester != "" {
		q.sendAnswer(r, advice, ok)
		return
	}
	if r.fromHolder {
		r.pool.sendToFlow(flow.AdviceResult{
			Step: r.step, Workers: r.workers, Cost: r.cost, OK: ok, Grants: advice.Grants, Expiry: advice.Validity.After(q.cell.Clock.Now()),
		})
		return
	}
	if ok {
		r.pool.reportAdvice(r, advice)
	}
}

// enqueueRemote queues a request of a pool's holder in another entry.
func (q *adviceQueue) enqueueRemote(from endive.EntryID, m *wire.AdviceAsk) {
	r := adviceRequest{
		step: endive.StepID(m.GetStep()), workers: workerIDs(m.GetWorkers()), requester: from, tag: m.GetTag(),
		cost: endive.Interval(time.Duration(m.GetCostMillis()) * time.Millisecond),
	}
	q.enqueue(r)
}

// sendAnswer sends the advice to the entry that sent the request.
func (q *adviceQueue) sendAnswer(r adviceRequest, advice endive.Advice, ok bool) {
	message := &wire.AdviceAnswer{Tag: r.tag, Answered: ok, Good: grantsToWire(advice.Grants), ValidityMillis: time.Duration(advice.Validity).Milliseconds(),
		BacklogMillis: time.Duration(q.queuedCost() - r.cost).Milliseconds()}
	q.cell.peers.mesh.Send(r.requester, message)
}
